#include "server_connection.hpp"

#include "http_status.hpp"
#include "json_reply.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <chrono>
#include <sstream>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

namespace
{

/// How long a refused caller may read the refusal while what it still sends is discarded. A connection that
/// is closed with unread bytes is reset, and the refusal may be lost.
constexpr duration discard_timeout = duration::from_ms(1000);
/// Within about this time, large requests are complete or give way.
constexpr duration memory_retry_after = duration::from_ms(200);

std::chrono::microseconds to_chrono(duration span)
{
    return std::chrono::microseconds(span.us());
}

} // namespace

http_reply server_connection::refusal_of(read_end reason)
{
    switch (reason)
    {
    case read_end::timed_out:
        return error_reply(http_request_timeout, errc::message_malformed, "not complete in time");
    case read_end::header_too_large:
        return error_reply(http_header_too_large, errc::message_too_large, "head, trailer or chunk line");
    case read_end::body_too_large:
        return error_reply(http_too_large, errc::message_too_large, "body");
    case read_end::no_room:
    {
        http_reply reply = error_reply(http_unavailable, errc::overloaded, "memory for requests");
        reply.headers.add("Retry-After", fmt::format("{:.3f}", memory_retry_after.ms() / 1000.0));
        return reply;
    }
    case read_end::malformed:
    case read_end::closed:
    case read_end::complete:
        break;
    }
    return error_reply(http_bad_request, errc::message_malformed);
}

server_connection::pending_reply::pending_reply(const net::any_io_executor& executor) : ready(executor)
{
    ready.expires_at(net::steady_timer::time_point::max());
}

server_connection::server_connection(tcp::socket socket, std::shared_ptr<http_server::state> server)
    : m_socket(std::move(socket)), m_timer(m_socket.get_executor()), m_server(std::move(server)),
      m_reader(message_memory::of_requests())
{
}

void server_connection::start(std::shared_ptr<server_connection> self)
{
    const auto stop = [weak = std::weak_ptr(self), executor = self->m_socket.get_executor()]
    {
        net::post(executor,
                  [weak]
                  {
                      if (const auto evicted = weak.lock())
                      {
                          boost::system::error_code ignored;
                          evicted->m_socket.cancel(ignored);
                      }
                  });
    };
    self->m_tracked = std::make_shared<tracked_connection>(self->m_server->clock.now(), stop);
    self->m_server->table.add(self->m_tracked);
    net::co_spawn(
        self->m_socket.get_executor(),
        [self]
        {
            return self->serve();
        },
        [self](const std::exception_ptr&)
        {
            // An exception means that the peer closed the connection, so the error can't be reported to it.
            boost::system::error_code ignored;
            self->m_socket.close(ignored);
            self->m_timer.cancel();
            self->m_server->table.remove(self->m_tracked);
        });
}

net::awaitable<void> server_connection::serve()
{
    m_socket.set_option(tcp::no_delay(true));
    m_socket.non_blocking(true);
    if (const int cost_ms = m_server->active_limits.load()->new_connection_cost_ms; cost_ms > 0)
    {
        net::steady_timer cost(m_socket.get_executor(), std::chrono::milliseconds(cost_ms));
        co_await cost.async_wait(net::use_awaitable);
    }
    bool keep_alive = true;
    while (keep_alive && !m_server->draining)
    {
        const auto bounds = m_server->active_limits.load();
        const read_end end = co_await read_request(*bounds);
        if (end != read_end::complete)
        {
            co_await refuse(end);
            break;
        }
        keep_alive = co_await answer(*bounds);
    }
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
}

// ---------------------------------------------------------------------------------------------------------
// refusals
// ---------------------------------------------------------------------------------------------------------

/// Replies with an error to a request that wasn't read completely, and so doesn't run.
net::awaitable<void> server_connection::refuse(read_end reason)
{
    if (reason == read_end::closed)
    {
        co_return;
    }
    http_reply reply = refusal_of(reason);
    if (reason == read_end::no_room)
    {
        ++m_server->requests_refused;
    }
    if (m_server->on_refusal && m_reader.has_head())
    {
        m_server->on_refusal(m_reader.head(), reply.status);
    }
    m_reader.reset();
    m_tracked->set_held_bytes(0);
    m_tracked->on_released();
    response message = to_response(std::move(reply), false);
    const time_point now = m_server->clock.now();
    if (!m_tracked->enter(connection_phase::closing, now))
    {
        write_at_once(message);
        co_return;
    }
    if (co_await write(message, now + discard_timeout))
    {
        co_await discard_rest();
    }
}

/// Writes what the socket accepts at once: a connection that is evicted waits for nothing more.
void server_connection::write_at_once(const response& message)
{
    std::ostringstream text;
    text << message;
    boost::system::error_code ignored;
    m_socket.write_some(net::buffer(text.str()), ignored);
}

/// Reads what the caller still sends until it closes the connection, for a limited time.
net::awaitable<void> server_connection::discard_rest()
{
    const time_point now = m_server->clock.now();
    const time_point deadline = now + discard_timeout;
    m_reader.reset();
    m_tracked->enter(connection_phase::closing, now);
    boost::system::error_code failed;
    m_socket.shutdown(tcp::socket::shutdown_send, failed);
    while ((!failed || failed == net::error::would_block) && co_await await_readable(deadline))
    {
        m_socket.read_some(net::buffer(read_buffer()), failed);
    }
}

// ---------------------------------------------------------------------------------------------------------
// deadlines
// ---------------------------------------------------------------------------------------------------------

/// Most waits end long before their deadline. Therefore the timer isn't restarted for each of them: it
/// expires at the deadline of the first one, and is then started again for the wait in progress.
void server_connection::set_deadline(time_point deadline)
{
    m_deadline = deadline;
    m_timed_out = false;
    if (deadline < m_timer_due)
    {
        start_timer(deadline);
    }
}

void server_connection::start_timer(time_point due)
{
    m_timer_due = due;
    m_timer.expires_after(to_chrono(due - m_server->clock.now()));
    m_timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& stopped)
        {
            const auto self = weak.lock();
            if (self && !stopped)
            {
                self->on_timer_due();
            }
        });
}

void server_connection::on_timer_due()
{
    m_timer_due = time_point::never();
    if (m_deadline == time_point::never())
    {
        return;
    }
    if (m_server->clock.now() < m_deadline)
    {
        start_timer(m_deadline);
        return;
    }
    m_timed_out = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

} // namespace flaxtiller::shell
