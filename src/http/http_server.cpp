#include "http_server_state.hpp"
#include "server_connection.hpp"

#include <flaxtiller/core/error.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace
{

/// The time until the next attempt after the system has refused a connection, usually for lack of
/// descriptors.
constexpr std::chrono::milliseconds accept_retry(20);

} // namespace

http_server::state::state(net::io_context& context, limits initial, handler request_handler)
    : io(context), active_limits(std::make_shared<const limits>(initial)), handle(std::move(request_handler)),
      acceptor(net::make_strand(context))
{
}

net::awaitable<void> http_server::state::accept_loop()
{
    net::steady_timer pause(acceptor.get_executor());
    while (!draining)
    {
        boost::system::error_code failed;
        tcp::socket socket(net::make_strand(io));
        co_await acceptor.async_accept(socket, net::redirect_error(net::use_awaitable, failed));
        if (failed == net::error::operation_aborted)
        {
            co_return;
        }
        if (failed)
        {
            (void)table.make_room_for_connection(clock.now());
            pause.expires_after(accept_retry);
            co_await pause.async_wait(net::redirect_error(net::use_awaitable, failed));
            continue;
        }
        if (!admits_connection())
        {
            ++connections_refused;
            continue;
        }
        server_connection::start(std::make_shared<server_connection>(std::move(socket), shared_from_this()));
        // Only this loop writes most_seen, so a load and a store suffice.
        most_seen = std::max(most_seen.load(), table.size());
    }
}

bool http_server::state::admits_connection()
{
    const auto bounds = active_limits.load();
    if (bounds->most_connections == 0 || table.size() < bounds->most_connections)
    {
        return true;
    }
    return !bounds->refuses_connections && table.make_room_for_connection(clock.now());
}

http_server::http_server(net::io_context& io, limits bounds, handler handle, refusal_handler refused)
    : m_state(std::make_shared<state>(io, bounds, std::move(handle)))
{
    m_state->on_refusal = std::move(refused);
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
        if (const int bytes = m_state->active_limits.load()->receive_buffer_bytes; bytes > 0)
        {
            // Accepted connections have the buffer of the listening socket.
            acceptor.set_option(net::socket_base::receive_buffer_size(bytes), failed);
        }
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
    return m_state->table.size();
}

std::size_t http_server::most_connections_seen() const noexcept
{
    return m_state->most_seen;
}

std::size_t http_server::connections_refused() const noexcept
{
    return m_state->connections_refused;
}

http_server::pressure http_server::pressure_so_far() const noexcept
{
    return {m_state->table.evicted(), m_state->connections_refused, m_state->requests_refused};
}

} // namespace flaxtiller::shell
