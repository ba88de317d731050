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

/// A peer that doesn't accept a connection within this time counts as unreachable. Nothing was sent, so the
/// request goes to another backend server without an extra attempt; the time is several round trips between
/// regions, and leaves most of an objective of a second.
constexpr duration connect_timeout = duration::from_ms(250);
/// After a peer closed a connection without a reply, a new connection is tried for this long, which covers
/// one round trip between regions.
constexpr duration probe_timeout = duration::from_ms(100);
/// Idle connections beyond one, or beyond the number kept open in advance, are closed after this time. If an
/// instance loses power, a backend server that isn't notified counts the connections of the lost instance for
/// some more seconds, in addition to the new ones.
constexpr duration surplus_idle_timeout = duration::from_ms(1000);

using connection_ptr = std::shared_ptr<http_connection>;

} // namespace

struct connection_pool::state : std::enable_shared_from_this<connection_pool::state>
{
    /// @brief An exchange in progress that @ref connection_pool::close may end.
    struct open_exchange
    {
        /// Null until the connection is established.
        connection_ptr connection;
        bool closed = false;
    };

    state(const connection_strand& pool_strand, const address& peer_address, metrics& metrics_in)
        : strand(pool_strand), at(net::ip::make_address(peer_address.ip), peer_address.port),
          pool_metrics(metrics_in)
    {
    }

    connection_strand strand;
    tcp::endpoint at;
    metrics& pool_metrics;
    monotonic_clock clock;
    int max_open = 1;
    int warm = 0;
    std::atomic<int> open{0};
    std::vector<connection_ptr> idle;
    std::unordered_map<std::uint64_t, open_exchange> exchanges_in_progress;

    /// @return a reusable idle connection, or null if there is none
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

    /// @brief Opens a connection.
    /// @param done receives the connection, or null if the attempt failed
    template <typename Done>
    void dial(Done done, duration patience = connect_timeout)
    {
        ++open;
        auto new_connection = std::make_shared<http_connection>(strand);
        new_connection->connect(
            at, patience,
            [self = shared_from_this(), new_connection, done = std::move(done)](bool is_connected) mutable
            {
                if (!is_connected)
                {
                    self->drop(new_connection);
                    done(nullptr);
                    return;
                }
                self->pool_metrics.add(metrics::counter::connections_opened);
                done(new_connection);
            });
    }

    void put_back(connection_ptr used, bool reusable)
    {
        if (!reusable || open > max_open)
        {
            drop(used);
            return;
        }
        used->idle_since = clock.now();
        idle.push_back(std::move(used));
        close_surplus();
    }

    /// @brief Closes surplus idle connections; the least recently used ones are at the front.
    void close_surplus()
    {
        const auto kept = static_cast<std::size_t>(std::max(warm, 1));
        while (idle.size() > kept && clock.now() - idle.front()->idle_since > surplus_idle_timeout)
        {
            drop(idle.front());
            idle.erase(idle.begin());
        }
    }

    void shrink()
    {
        while (open > max_open && !idle.empty())
        {
            drop(idle.back());
            idle.pop_back();
        }
    }

    void keep_warm()
    {
        if (static_cast<int>(idle.size()) >= warm || open >= std::min(max_open, warm))
        {
            return;
        }
        dial(
            [self = shared_from_this()](const connection_ptr& new_connection)
            {
                if (new_connection)
                {
                    self->put_back(new_connection, true);
                    self->keep_warm();
                }
            });
    }

    void begin(http_exchange wanted, completion done)
    {
        if (wanted.token != 0)
        {
            exchanges_in_progress.emplace(wanted.token, open_exchange{});
        }
        if (connection_ptr reused = take_idle(wanted.most_rest))
        {
            exchange_on(reused, std::move(wanted), std::move(done));
        }
        else if (open >= max_open)
        {
            end(wanted.token, {}, done);
        }
        else
        {
            dial(
                [self = shared_from_this(), wanted = std::move(wanted),
                 done = std::move(done)](const connection_ptr& new_connection) mutable
                {
                    self->on_dialled(new_connection, std::move(wanted), std::move(done));
                });
        }
    }

    void on_dialled(const connection_ptr& new_connection, http_exchange wanted, completion done)
    {
        const auto known = exchanges_in_progress.find(wanted.token);
        const bool closed = known != exchanges_in_progress.end() && known->second.closed;
        if (new_connection && !closed)
        {
            exchange_on(new_connection, std::move(wanted), std::move(done));
            return;
        }
        if (new_connection)
        {
            // The exchange was closed before any byte was sent, so the connection can be reused.
            put_back(new_connection, true);
        }
        end(wanted.token, {}, done);
    }

    void exchange_on(const connection_ptr& used, http_exchange wanted, completion done)
    {
        const std::uint64_t token = wanted.token;
        if (token != 0)
        {
            exchanges_in_progress[token].connection = used;
        }
        used->exchange(std::move(wanted),
                       [self = shared_from_this(), used, token,
                        done = std::move(done)](http_exchange_result result, bool reusable)
                       {
                           self->count_broken(result);
                           self->put_back(used, reusable);
                           if (result.end == exchange_end::hung_up)
                           {
                               self->probe(token, std::move(result), done);
                               return;
                           }
                           self->end(token, std::move(result), done);
                       });
    }

    void count_broken(const http_exchange_result& result)
    {
        if (result.end == exchange_end::foreign)
        {
            pool_metrics.add(metrics::counter::foreign_answers);
        }
        if (result.fault != reply_fault::none)
        {
            pool_metrics.add(metrics::counter::malformed_answers);
        }
    }

    /// @brief Opens a new connection, in order to distinguish a peer that is gone from a peer that only
    /// closed one connection. The new connection is kept in place of the lost one.
    void probe(std::uint64_t token, http_exchange_result result, completion done)
    {
        if (open >= max_open)
        {
            result.end = exchange_end::cut;
            end(token, std::move(result), done);
            return;
        }
        const time_point probe_started_at = clock.now();
        dial(
            [self = shared_from_this(), token, probe_started_at, result = std::move(result),
             done = std::move(done)](const connection_ptr& new_connection) mutable
            {
                if (new_connection)
                {
                    self->put_back(new_connection, true);
                }
                if (new_connection || self->clock.now() - probe_started_at >= probe_timeout)
                {
                    result.end = exchange_end::cut;
                }
                self->end(token, std::move(result), done);
            },
            probe_timeout);
    }

    void end(std::uint64_t token, http_exchange_result result, const completion& done)
    {
        const auto known = exchanges_in_progress.find(token);
        if (known != exchanges_in_progress.end())
        {
            if (known->second.closed && result.end != exchange_end::replied)
            {
                result.end = exchange_end::closed;
            }
            exchanges_in_progress.erase(known);
        }
        done(std::move(result));
    }

    void close(std::uint64_t token)
    {
        const auto found = exchanges_in_progress.find(token);
        if (found == exchanges_in_progress.end())
        {
            return;
        }
        found->second.closed = true;
        if (const connection_ptr used = found->second.connection)
        {
            used->close();
        }
    }
};

connection_pool::connection_pool(const connection_strand& strand, address at, metrics& pool_metrics)
    : m_state(std::make_shared<state>(strand, at, pool_metrics))
{
}

/// Exchanges in progress continue to their end; idle connections are closed with the pool.
connection_pool::~connection_pool() = default;

void connection_pool::configure(int most_connections, int warm)
{
    net::dispatch(m_state->strand,
                  [self = m_state, most_connections, warm]
                  {
                      self->max_open = most_connections;
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
