#include "http_server.hpp"

#include "http_status.hpp"
#include "json_reply.hpp"

#include <flaxtiller/core/error.hpp>
#include <flaxtiller/core/rcu_cell.hpp>

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = net::ip::tcp;

namespace
{

using parser = http::request_parser<http::string_body>;
using response = http::response<http::string_body>;

constexpr unsigned http_version = 11;

/// The reply that a connection's coroutine waits for. The handler may produce the reply on another thread; it
/// is posted to the connection's strand.
struct pending_reply
{
    explicit pending_reply(const net::any_io_executor& executor) : ready(executor)
    {
        ready.expires_at(net::steady_timer::time_point::max());
    }

    net::steady_timer ready;
    bool is_set = false;
    http_reply reply;
};

/// The time limit for reading one request.
struct read_timeout
{
    explicit read_timeout(const net::any_io_executor& executor) : timer(executor)
    {
    }

    net::steady_timer timer;
    bool timed_out = false;
    bool finished = false;
};

int status_of(const beast::error_code& failed)
{
    if (failed == http::error::body_limit)
    {
        return http_too_large;
    }
    if (failed == http::error::header_limit)
    {
        return http_header_too_large;
    }
    return http_bad_request;
}

http_request to_request(http::request<http::string_body>& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
    {
        request.headers.add(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

response to_response(const http_reply& reply, bool keep_alive)
{
    response message(static_cast<http::status>(reply.status), http_version);
    if (!reply.content_type.empty())
    {
        message.set(http::field::content_type, reply.content_type);
    }
    for (const auto& [name, value] : reply.headers.items())
    {
        message.insert(name, value);
    }
    message.keep_alive(keep_alive);
    message.body() = reply.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(net::io_context& context, limits initial, handler request_handler)
        : io(context), active_limits(std::make_shared<const limits>(initial)),
          handle(std::move(request_handler)), acceptor(net::make_strand(context))
    {
    }

    net::io_context& io;
    rcu_cell<limits> active_limits;
    handler handle;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};
    std::atomic<bool> closing{false};
    std::atomic<std::size_t> in_flight{0};
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> most_seen{0};
    std::atomic<std::size_t> refused{0};

    net::awaitable<void> accept_loop()
    {
        while (!draining)
        {
            beast::error_code failed;
            tcp::socket socket(net::make_strand(io));
            co_await acceptor.async_accept(socket, net::redirect_error(net::use_awaitable, failed));
            if (failed == net::error::operation_aborted)
            {
                co_return;
            }
            const std::size_t most = active_limits.load()->most_connections;
            const bool full = most > 0 && connections >= most;
            refused += full && !failed ? 1 : 0;
            if (failed || full)
            {
                // A connection above the limit is closed at once. A failed accept is retried.
                continue;
            }
            // Only this loop writes most_seen, so a load and a store suffice.
            most_seen = std::max(most_seen.load(), ++connections);
            const auto executor = socket.get_executor();
            net::co_spawn(executor, session(shared_from_this(), beast::tcp_stream(std::move(socket))),
                          net::detached);
        }
    }

    static net::awaitable<void> session(std::shared_ptr<state> self, beast::tcp_stream stream)
    {
        try
        {
            co_await self->serve(stream);
        }
        catch (const std::exception&)
        {
            // The peer closed the connection, so the error can't be reported to it.
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        --self->connections;
    }

    net::awaitable<void> serve(beast::tcp_stream& stream)
    {
        stream.socket().set_option(tcp::no_delay(true));
        if (const int cost_ms = active_limits.load()->new_connection_cost_ms; cost_ms > 0)
        {
            net::steady_timer cost(stream.get_executor(), std::chrono::milliseconds(cost_ms));
            co_await cost.async_wait(net::use_awaitable);
        }
        beast::flat_buffer buffer;
        bool keep_alive = true;
        while (keep_alive && !draining)
        {
            const auto bounds = active_limits.load();
            if (!co_await await_request(stream, buffer, *bounds) || draining)
            {
                co_return;
            }
            parser incoming;
            incoming.body_limit(bounds->most_body_bytes);
            incoming.header_limit(static_cast<std::uint32_t>(bounds->most_header_bytes));
            const beast::error_code failed = co_await read_request(stream, buffer, incoming, *bounds);
            if (failed)
            {
                co_await refuse(stream, failed, *bounds);
                co_return;
            }
            stream.expires_never();
            keep_alive = co_await answer(stream, buffer, incoming.release(), *bounds);
        }
    }

    /// Waits for the first byte of a request.
    /// @return false if no byte arrived within the idle timeout, or the peer closed the connection
    static net::awaitable<bool> await_request(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                              const limits& bounds)
    {
        constexpr std::size_t read_ahead = 4096;
        if (buffer.size() > 0)
        {
            co_return true;
        }
        const int idle_ms = bounds.idle_timeout_ms > 0 ? bounds.idle_timeout_ms : bounds.request_timeout_ms;
        stream.expires_after(std::chrono::milliseconds(idle_ms));
        beast::error_code failed;
        const std::size_t count = co_await stream.async_read_some(
            buffer.prepare(read_ahead), net::redirect_error(net::use_awaitable, failed));
        buffer.commit(count);
        co_return !failed && count > 0;
    }

    /// Reads a request within its time limit. A separate timer is used because the stream's own timeout
    /// closes the connection, and the server then can't reply with an error.
    static net::awaitable<beast::error_code> read_request(beast::tcp_stream& stream,
                                                          beast::flat_buffer& buffer, parser& incoming,
                                                          const limits& bounds)
    {
        stream.expires_never();
        auto limit = std::make_shared<read_timeout>(stream.get_executor());
        limit->timer.expires_after(std::chrono::milliseconds(bounds.request_timeout_ms));
        limit->timer.async_wait(
            [limit, &stream](const beast::error_code& stopped)
            {
                // The stream may be destroyed already if the request was read completely.
                if (!stopped && !limit->finished)
                {
                    limit->timed_out = true;
                    stream.cancel();
                }
            });
        beast::error_code failed;
        co_await http::async_read(stream, buffer, incoming, net::redirect_error(net::use_awaitable, failed));
        limit->finished = true;
        limit->timer.cancel();
        co_return limit->timed_out ? beast::error_code(beast::error::timeout) : failed;
    }

    /// Replies with an error to a request that could not be read. No reply is sent if the peer closed the
    /// connection.
    net::awaitable<void> refuse(beast::tcp_stream& stream, beast::error_code failed, const limits& bounds)
    {
        const bool slow = failed == beast::error::timeout;
        const bool is_malformed =
            failed.category() == http::make_error_code(http::error::bad_target).category() &&
            failed != http::error::end_of_stream && failed != http::error::partial_message;
        if (!slow && !is_malformed)
        {
            co_return;
        }
        const int status = slow ? http_request_timeout : status_of(failed);
        const http_reply reply = error_reply(status, errc::message_malformed, failed.message());
        response message = to_response(reply, false);
        stream.expires_after(std::chrono::milliseconds(bounds.request_timeout_ms));
        beast::error_code gone;
        co_await http::async_write(stream, message, net::redirect_error(net::use_awaitable, gone));
    }

    /// Calls @a on_gone if the caller closes the connection before the reply. If bytes arrive instead, they
    /// belong to the caller's next request, and the connection is no longer watched.
    static void watch_for_disconnect(const std::shared_ptr<pending_reply>& pending, beast::tcp_stream& stream,
                                     std::shared_ptr<std::function<void()>> on_gone)
    {
        stream.socket().async_wait(
            tcp::socket::wait_read,
            [pending, &stream, on_gone = std::move(on_gone)](const beast::error_code& stopped)
            {
                if (stopped || pending->is_set)
                {
                    return;
                }
                char byte = 0;
                const auto count =
                    ::recv(stream.socket().native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
                if (count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
                {
                    return;
                }
                (*on_gone)();
                pending->is_set = true;
                pending->reply.close_connection = true;
                pending->ready.cancel();
            });
    }

    net::awaitable<bool> answer(beast::tcp_stream& stream, const beast::flat_buffer& buffer,
                                http::request<http::string_body> message, const limits& bounds)
    {
        ++in_flight;
        const bool wants_keep_alive = message.keep_alive();
        auto pending = std::make_shared<pending_reply>(stream.get_executor());
        const auto executor = stream.get_executor();
        http_request request = to_request(message);
        request.on_gone = std::make_shared<std::function<void()>>();
        handle(request,
               [pending, executor](http_reply reply)
               {
                   net::post(executor,
                             [pending, reply = std::move(reply)]() mutable
                             {
                                 if (!pending->is_set)
                                 {
                                     pending->is_set = true;
                                     pending->reply = std::move(reply);
                                     pending->ready.cancel();
                                 }
                             });
               });
        const bool watched = *request.on_gone && buffer.size() == 0;
        if (watched)
        {
            watch_for_disconnect(pending, stream, request.on_gone);
        }
        while (!pending->is_set)
        {
            beast::error_code woken;
            co_await pending->ready.async_wait(net::redirect_error(net::use_awaitable, woken));
        }
        beast::error_code failed;
        if (watched)
        {
            stream.socket().cancel(failed);
        }
        const bool keep_alive = wants_keep_alive && !draining && !closing && !pending->reply.close_connection;
        if (!pending->reply.close_connection)
        {
            response reply = to_response(pending->reply, keep_alive);
            stream.expires_after(std::chrono::milliseconds(bounds.request_timeout_ms));
            co_await http::async_write(stream, reply, net::redirect_error(net::use_awaitable, failed));
        }
        --in_flight;
        co_return keep_alive && !failed;
    }
};

http_server::http_server(net::io_context& io, limits bounds, handler handle)
    : m_state(std::make_shared<state>(io, bounds, std::move(handle)))
{
}

std::error_code http_server::listen(const address& at)
{
    boost::system::error_code failed;
    const tcp::endpoint endpoint(net::ip::make_address(at.ip), at.port);
    auto& acceptor = m_state->acceptor;
    acceptor.open(endpoint.protocol(), failed);
    if (!failed)
    {
        acceptor.set_option(net::socket_base::reuse_address(true), failed);
        acceptor.bind(endpoint, failed);
    }
    if (!failed)
    {
        acceptor.listen(net::socket_base::max_listen_connections, failed);
    }
    if (failed)
    {
        return errc::address_in_use;
    }
    net::co_spawn(acceptor.get_executor(), m_state->accept_loop(), net::detached);
    return {};
}

void http_server::drain()
{
    m_state->draining = true;
    net::post(m_state->acceptor.get_executor(),
              [state = m_state]
              {
                  boost::system::error_code ignored;
                  state->acceptor.close(ignored);
              });
}

void http_server::close_after_reply()
{
    m_state->closing = true;
}

void http_server::set_limits(const limits& bounds)
{
    m_state->active_limits.store(std::make_shared<const limits>(bounds));
}

std::size_t http_server::in_flight() const noexcept
{
    return m_state->in_flight;
}

std::size_t http_server::connections() const noexcept
{
    return m_state->connections;
}

std::size_t http_server::most_connections_seen() const noexcept
{
    return m_state->most_seen;
}

std::size_t http_server::connections_refused() const noexcept
{
    return m_state->refused;
}

} // namespace flaxtiller::shell
