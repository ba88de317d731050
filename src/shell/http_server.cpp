#include "http_server.hpp"

#include "http_status.hpp"
#include "json_reply.hpp"

#include <flaxtiller/core/error.hpp>

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

#include <algorithm>
#include <cctype>

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

/// A reply that a handler gives, perhaps from another thread, to the coroutine that waits for it.
struct pending_reply
{
    explicit pending_reply(const net::any_io_executor& executor) : ready(executor)
    {
        ready.expires_at(net::steady_timer::time_point::max());
    }

    net::steady_timer ready;
    bool given = false;
    http_reply reply;
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

http_request to_request(const http::request<http::string_body>& message)
{
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    for (const auto& field : message)
    {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c)
                       {
                           return static_cast<char>(std::tolower(c));
                       });
        request.headers[name] = std::string(field.value());
    }
    return request;
}

response to_response(const http_reply& reply, bool keep_alive)
{
    response message(static_cast<http::status>(reply.status), http_version);
    message.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.headers)
    {
        message.set(name, value);
    }
    message.keep_alive(keep_alive);
    message.body() = reply.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(net::io_context& context, limits wanted, handler handler_of)
        : io(context), bounds(wanted), handle(std::move(handler_of)), acceptor(net::make_strand(context))
    {
    }

    net::io_context& io;
    limits bounds;
    handler handle;
    tcp::acceptor acceptor;
    std::atomic<bool> draining{false};
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
            const bool full = bounds.most_connections > 0 && connections >= bounds.most_connections;
            refused += full && !failed ? 1 : 0;
            if (failed || full)
            {
                // A refused connection is closed at once; a failed accept is tried again.
                continue;
            }
            // Only this loop writes the maximum.
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
            // The peer went away; there is nobody to tell.
        }
        beast::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        --self->connections;
    }

    net::awaitable<void> serve(beast::tcp_stream& stream)
    {
        stream.socket().set_option(tcp::no_delay(true));
        if (bounds.new_connection_cost_ms > 0)
        {
            net::steady_timer cost(stream.get_executor(),
                                   std::chrono::milliseconds(bounds.new_connection_cost_ms));
            co_await cost.async_wait(net::use_awaitable);
        }
        beast::flat_buffer buffer;
        bool keep_alive = true;
        while (keep_alive && !draining)
        {
            parser incoming;
            incoming.body_limit(bounds.most_body_bytes);
            incoming.header_limit(static_cast<std::uint32_t>(bounds.most_header_bytes));
            stream.expires_after(std::chrono::milliseconds(bounds.request_timeout_ms));
            beast::error_code failed;
            co_await http::async_read(stream, buffer, incoming,
                                      net::redirect_error(net::use_awaitable, failed));
            if (failed == http::error::end_of_stream || failed == beast::error::timeout ||
                failed.category() != http::make_error_code(http::error::bad_target).category())
            {
                if (failed)
                {
                    co_return;
                }
            }
            if (failed)
            {
                co_await refuse(stream, failed);
                co_return;
            }
            stream.expires_never();
            keep_alive = co_await answer(stream, incoming.release());
        }
    }

    net::awaitable<void> refuse(beast::tcp_stream& stream, beast::error_code failed)
    {
        const http_reply reply = error_reply(status_of(failed), errc::message_malformed, failed.message());
        response message = to_response(reply, false);
        stream.expires_after(std::chrono::milliseconds(bounds.request_timeout_ms));
        co_await http::async_write(stream, message, net::use_awaitable);
    }

    net::awaitable<bool> answer(beast::tcp_stream& stream, http::request<http::string_body> message)
    {
        ++in_flight;
        const bool wanted_alive = message.keep_alive();
        auto pending = std::make_shared<pending_reply>(stream.get_executor());
        const auto executor = stream.get_executor();
        handle(to_request(message),
               [pending, executor](http_reply reply)
               {
                   net::post(executor,
                             [pending, reply = std::move(reply)]() mutable
                             {
                                 pending->given = true;
                                 pending->reply = std::move(reply);
                                 pending->ready.cancel();
                             });
               });
        while (!pending->given)
        {
            beast::error_code woken;
            co_await pending->ready.async_wait(net::redirect_error(net::use_awaitable, woken));
        }
        bool keep_alive = wanted_alive && !draining && !pending->reply.cut;
        beast::error_code failed;
        if (!pending->reply.cut)
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
