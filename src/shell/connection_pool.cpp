#include "connection_pool.hpp"

#include <flaxtiller/core/clock.hpp>

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace
{

constexpr unsigned http_version = 11;
/// A peer that doesn't take a connection within this can't be reached.
constexpr duration connect_timeout = duration::from_ms(1000);
constexpr std::uint64_t most_reply_bytes = std::uint64_t{64} << 20U;
/// A connection rests for this share of what the peer allows, at most: its close may be on its way.
constexpr double rest_share = 0.8;
/// Beyond one, a connection that rested this long is closed. A backend server that doesn't learn of an
/// instance's loss of power still counts its connections for some seconds, beside the new ones.
constexpr duration surplus_rest = duration::from_ms(1000);

std::chrono::microseconds to_chrono(duration span)
{
    return std::chrono::microseconds(span.us());
}

struct connection
{
    explicit connection(const net::any_io_executor& executor) : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point reusable_until = time_point::never();
    time_point rests_since{};
};

using connection_ptr = std::unique_ptr<connection>;

/// @return when a connection that this reply came on must no longer be used, by its `Keep-Alive: timeout=N`
time_point reusable_until(const http_fields& headers, time_point now)
{
    constexpr std::string_view key = "timeout=";
    const std::string* keep_alive = headers.find("Keep-Alive");
    const auto at = keep_alive == nullptr ? std::string::npos : keep_alive->find(key);
    if (at == std::string::npos)
    {
        return time_point::never();
    }
    int seconds = 0;
    const char* begin = keep_alive->data() + at + key.size();
    if (std::from_chars(begin, keep_alive->data() + keep_alive->size(), seconds).ec != std::errc{})
    {
        return time_point::never();
    }
    return now + duration::from_ms(1000.0 * seconds * rest_share);
}

http::request<http::string_body> to_message(http_exchange& exchange)
{
    http::request<http::string_body> message;
    message.version(http_version);
    message.method_string(exchange.method);
    message.target(exchange.target);
    for (const auto& [name, value] : exchange.headers.items())
    {
        message.insert(name, value);
    }
    message.body() = std::move(exchange.body);
    message.prepare_payload();
    return message;
}

} // namespace

struct connection_pool::state : std::enable_shared_from_this<connection_pool::state>
{
    state(net::io_context& io, const address& where, metrics& counted_in)
        : strand(net::make_strand(io)), at(net::ip::make_address(where.ip), where.port), counted(counted_in)
    {
    }

    net::strand<net::io_context::executor_type> strand;
    tcp::endpoint at;
    metrics& counted;
    monotonic_clock clock;
    int most = 1;
    int warm = 0;
    std::atomic<int> open{0};
    std::vector<connection_ptr> idle;
    /// Exchanges that may be closed, by token; empty while the connection isn't made yet.
    std::unordered_map<std::uint64_t, connection*> under_way;
    std::unordered_set<std::uint64_t> closed;

    /// @return whether the connection still stands and holds no unread bytes: neither closed by the peer
    /// while it was idle, nor with a reply that nobody read
    static bool is_quiet(connection& used)
    {
        char byte = 0;
        const int socket = used.stream.socket().native_handle();
        const auto count = ::recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
        return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    net::awaitable<connection_ptr> take(duration most_rest)
    {
        while (!idle.empty())
        {
            connection_ptr reused = std::move(idle.back());
            idle.pop_back();
            const time_point now = clock.now();
            if (now < reused->reusable_until && now - reused->rests_since <= most_rest && is_quiet(*reused))
            {
                co_return reused;
            }
            --open;
        }
        if (open >= most)
        {
            co_return nullptr;
        }
        co_return co_await dial();
    }

    net::awaitable<connection_ptr> dial()
    {
        ++open;
        auto fresh = std::make_unique<connection>(strand);
        fresh->stream.expires_after(to_chrono(connect_timeout));
        beast::error_code failed;
        co_await fresh->stream.async_connect(at, net::redirect_error(net::use_awaitable, failed));
        if (failed)
        {
            --open;
            co_return nullptr;
        }
        counted.add(metrics::counter::connections_opened);
        fresh->stream.socket().set_option(tcp::no_delay(true), failed);
        co_return fresh;
    }

    void put_back(connection_ptr used, bool reusable)
    {
        if (reusable && open <= most)
        {
            used->rests_since = clock.now();
            idle.push_back(std::move(used));
            close_surplus();
            return;
        }
        --open;
    }

    /// Those in front were used least lately.
    void close_surplus()
    {
        const auto kept = static_cast<std::size_t>(std::max(warm, 1));
        while (idle.size() > kept && clock.now() - idle.front()->rests_since > surplus_rest)
        {
            idle.erase(idle.begin());
            --open;
        }
    }

    void shrink()
    {
        while (open > most && !idle.empty())
        {
            idle.pop_back();
            --open;
        }
    }

    net::awaitable<void> keep_warm()
    {
        while (static_cast<int>(idle.size()) < warm && open < std::min(most, warm))
        {
            connection_ptr fresh = co_await dial();
            if (!fresh)
            {
                co_return;
            }
            put_back(std::move(fresh), true);
        }
    }

    net::awaitable<void> exchange(http_exchange wanted, completion done)
    {
        const std::uint64_t token = wanted.token;
        http_exchange_result result;
        if (token != 0)
        {
            under_way.emplace(token, nullptr);
        }
        connection_ptr used = co_await take(wanted.most_rest);
        if (used && closed.count(token) == 0)
        {
            if (token != 0)
            {
                under_way[token] = used.get();
            }
            const bool reusable = co_await talk(*used, wanted, result);
            under_way.erase(token);
            put_back(std::move(used), reusable);
        }
        else if (used)
        {
            // Closed before anything was sent: the connection is as good as new.
            put_back(std::move(used), true);
        }
        under_way.erase(token);
        if (closed.erase(token) > 0 && result.end != exchange_end::replied)
        {
            result.end = exchange_end::closed;
        }
        done(std::move(result));
    }

    /// @return whether the connection may be used again
    net::awaitable<bool> talk(connection& used, http_exchange& wanted, http_exchange_result& result)
    {
        const auto message = to_message(wanted);
        http::response_parser<http::string_body> parser;
        parser.body_limit(most_reply_bytes);
        beast::error_code failed;
        result.end = exchange_end::cut;
        used.stream.expires_after(to_chrono(wanted.patience));
        co_await http::async_write(used.stream, message, net::redirect_error(net::use_awaitable, failed));
        if (!failed)
        {
            co_await http::async_read(used.stream, used.buffer, parser,
                                      net::redirect_error(net::use_awaitable, failed));
        }
        if (failed)
        {
            co_return false;
        }
        auto reply = parser.release();
        result.status = reply.result_int();
        for (const auto& field : reply)
        {
            result.headers.add(std::string(field.name_string()), std::string(field.value()));
        }
        const std::string* echoed = result.headers.find(wanted.id_header);
        if (!wanted.id_header.empty() && (echoed == nullptr || *echoed != wanted.id))
        {
            // Nothing on this connection can be trusted any more.
            counted.add(metrics::counter::foreign_answers);
            result.end = exchange_end::foreign;
            co_return false;
        }
        result.end = exchange_end::replied;
        result.body = std::move(reply.body());
        used.reusable_until = reusable_until(result.headers, clock.now());
        co_return reply.keep_alive() && used.buffer.size() == 0;
    }
};

connection_pool::connection_pool(net::io_context& io, address at, metrics& counted)
    : m_state(std::make_shared<state>(io, at, counted))
{
}

connection_pool::~connection_pool() = default;

void connection_pool::configure(int most_connections, int warm)
{
    net::co_spawn(
        m_state->strand,
        [](std::shared_ptr<state> self, int most, int ahead) -> net::awaitable<void>
        {
            self->most = most;
            self->warm = ahead;
            self->shrink();
            co_await self->keep_warm();
        }(m_state, most_connections, warm),
        net::detached);
}

void connection_pool::send(http_exchange exchange, completion done)
{
    net::co_spawn(
        m_state->strand,
        [](std::shared_ptr<state> self, http_exchange wanted, completion told) -> net::awaitable<void>
        {
            co_await self->exchange(std::move(wanted), std::move(told));
        }(m_state, std::move(exchange), std::move(done)),
        net::detached);
}

void connection_pool::close(std::uint64_t token)
{
    net::post(m_state->strand,
              [self = m_state, token]
              {
                  const auto found = self->under_way.find(token);
                  if (found == self->under_way.end())
                  {
                      return;
                  }
                  self->closed.insert(token);
                  if (found->second != nullptr)
                  {
                      found->second->stream.close();
                  }
              });
}

std::size_t connection_pool::connections() const noexcept
{
    return static_cast<std::size_t>(std::max(0, m_state->open.load()));
}

} // namespace flaxtiller::shell
