#include "connection_pool.hpp"

#include <flaxtiller/core/clock.hpp>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace
{

/// A peer that doesn't take a connection within this can't be reached.
constexpr duration connect_timeout = duration::from_ms(1000);
/// A peer that lost a connection is asked for a new one for this long: a way between regions and back.
constexpr duration probe_timeout = duration::from_ms(100);
/// Beyond one, a connection that rested this long is closed. A backend server that doesn't learn of an
/// instance's loss of power still counts its connections for some seconds, beside the new ones.
constexpr duration surplus_rest = duration::from_ms(1000);

using connection_ptr = std::shared_ptr<http_connection>;

} // namespace

struct connection_pool::state : std::enable_shared_from_this<connection_pool::state>
{
    /// An exchange that may be closed.
    struct open_exchange
    {
        /// Empty while the connection isn't made yet.
        connection_ptr on;
        bool closed = false;
    };

    state(const connection_strand& on, const address& where, metrics& counted_in)
        : strand(on), at(net::ip::make_address(where.ip), where.port), counted(counted_in)
    {
    }

    connection_strand strand;
    tcp::endpoint at;
    metrics& counted;
    monotonic_clock clock;
    int most = 1;
    int warm = 0;
    std::atomic<int> open{0};
    std::vector<connection_ptr> idle;
    std::unordered_map<std::uint64_t, open_exchange> under_way;

    /// @return an idle connection that may be used, or nothing
    connection_ptr take_idle(duration most_rest)
    {
        while (!idle.empty())
        {
            connection_ptr reused = std::move(idle.back());
            idle.pop_back();
            const time_point now = clock.now();
            if (now < reused->reusable_until && now - reused->idle_since <= most_rest &&
                reused->is_open_and_idle())
            {
                return reused;
            }
            drop(reused);
        }
        return nullptr;
    }

    void drop(const connection_ptr& used)
    {
        --open;
        used->close();
    }

    /// @param done gets the connection, or nothing
    template <typename Done>
    void dial(Done done, duration patience = connect_timeout)
    {
        ++open;
        auto fresh = std::make_shared<http_connection>(strand);
        fresh->connect(at, patience,
                       [self = shared_from_this(), fresh, done = std::move(done)](bool stands) mutable
                       {
                           if (!stands)
                           {
                               self->drop(fresh);
                               done(nullptr);
                               return;
                           }
                           self->counted.add(metrics::counter::connections_opened);
                           done(fresh);
                       });
    }

    void put_back(connection_ptr used, bool reusable)
    {
        if (!reusable || open > most)
        {
            drop(used);
            return;
        }
        used->idle_since = clock.now();
        idle.push_back(std::move(used));
        close_surplus();
    }

    /// Those in front were used least lately.
    void close_surplus()
    {
        const auto kept = static_cast<std::size_t>(std::max(warm, 1));
        while (idle.size() > kept && clock.now() - idle.front()->idle_since > surplus_rest)
        {
            drop(idle.front());
            idle.erase(idle.begin());
        }
    }

    void shrink()
    {
        while (open > most && !idle.empty())
        {
            drop(idle.back());
            idle.pop_back();
        }
    }

    void keep_warm()
    {
        if (static_cast<int>(idle.size()) >= warm || open >= std::min(most, warm))
        {
            return;
        }
        dial(
            [self = shared_from_this()](const connection_ptr& fresh)
            {
                if (fresh)
                {
                    self->put_back(fresh, true);
                    self->keep_warm();
                }
            });
    }

    void begin(http_exchange wanted, completion done)
    {
        if (wanted.token != 0)
        {
            under_way.emplace(wanted.token, open_exchange{});
        }
        if (connection_ptr reused = take_idle(wanted.most_rest))
        {
            talk(reused, std::move(wanted), std::move(done));
        }
        else if (open >= most)
        {
            end(wanted.token, {}, done);
        }
        else
        {
            dial(
                [self = shared_from_this(), wanted = std::move(wanted),
                 done = std::move(done)](const connection_ptr& fresh) mutable
                {
                    self->on_dialled(fresh, std::move(wanted), std::move(done));
                });
        }
    }

    void on_dialled(const connection_ptr& fresh, http_exchange wanted, completion done)
    {
        const auto known = under_way.find(wanted.token);
        const bool closed = known != under_way.end() && known->second.closed;
        if (fresh && !closed)
        {
            talk(fresh, std::move(wanted), std::move(done));
            return;
        }
        if (fresh)
        {
            // Closed before anything was sent: the connection is as good as new.
            put_back(fresh, true);
        }
        end(wanted.token, {}, done);
    }

    void talk(const connection_ptr& used, http_exchange wanted, completion done)
    {
        const std::uint64_t token = wanted.token;
        if (token != 0)
        {
            under_way[token].on = used;
        }
        used->exchange(std::move(wanted),
                       [self = shared_from_this(), used, token,
                        done = std::move(done)](http_exchange_result result, bool reusable)
                       {
                           if (result.end == exchange_end::foreign)
                           {
                               self->counted.add(metrics::counter::foreign_answers);
                           }
                           self->put_back(used, reusable);
                           if (result.end == exchange_end::hung_up)
                           {
                               self->probe(token, std::move(result), done);
                               return;
                           }
                           self->end(token, std::move(result), done);
                       });
    }

    /// Tells a peer that has gone from one that only closed the connection, by a new one to it. That isn't
    /// wasted: it takes the place of the one that was lost.
    void probe(std::uint64_t token, http_exchange_result result, completion done)
    {
        if (open >= most)
        {
            result.end = exchange_end::cut;
            end(token, std::move(result), done);
            return;
        }
        const time_point begun = clock.now();
        dial(
            [self = shared_from_this(), token, begun, result = std::move(result),
             done = std::move(done)](const connection_ptr& fresh) mutable
            {
                if (fresh)
                {
                    self->put_back(fresh, true);
                }
                if (fresh || self->clock.now() - begun >= probe_timeout)
                {
                    result.end = exchange_end::cut;
                }
                self->end(token, std::move(result), done);
            },
            probe_timeout);
    }

    void end(std::uint64_t token, http_exchange_result result, const completion& done)
    {
        const auto known = under_way.find(token);
        if (known != under_way.end())
        {
            if (known->second.closed && result.end != exchange_end::replied)
            {
                result.end = exchange_end::closed;
            }
            under_way.erase(known);
        }
        done(std::move(result));
    }

    void close(std::uint64_t token)
    {
        const auto found = under_way.find(token);
        if (found == under_way.end())
        {
            return;
        }
        found->second.closed = true;
        if (const connection_ptr used = found->second.on)
        {
            used->close();
        }
    }
};

connection_pool::connection_pool(const connection_strand& strand, address at, metrics& counted)
    : m_state(std::make_shared<state>(strand, at, counted))
{
}

/// Exchanges that are under way end on their own; what rests is closed with the pool.
connection_pool::~connection_pool() = default;

void connection_pool::configure(int most_connections, int warm)
{
    net::dispatch(m_state->strand,
                  [self = m_state, most_connections, warm]
                  {
                      self->most = most_connections;
                      self->warm = warm;
                      self->shrink();
                      self->keep_warm();
                  });
}

void connection_pool::send(http_exchange exchange, completion done)
{
    net::dispatch(m_state->strand,
                  [self = m_state, exchange = std::move(exchange), done = std::move(done)]() mutable
                  {
                      self->begin(std::move(exchange), std::move(done));
                  });
}

void connection_pool::close(std::uint64_t token)
{
    net::post(m_state->strand,
              [self = m_state, token]
              {
                  self->close(token);
              });
}

std::size_t connection_pool::connections() const noexcept
{
    return static_cast<std::size_t>(std::max(0, m_state->open.load()));
}

} // namespace flaxtiller::shell
