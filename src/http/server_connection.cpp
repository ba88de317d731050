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

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

namespace
{

constexpr unsigned http_version = 11;
/// The most bytes of one read.
constexpr std::size_t read_buffer_bytes = std::size_t{64} << 10U;
/// A caller makes progress with each piece of this size, so that single bytes don't count.
constexpr std::size_t progress_bytes = 4096;
/// How long a refused caller may read the refusal while what it still sends is discarded. A connection that
/// is closed with unread bytes is reset, and the refusal may be lost.
constexpr duration discard_timeout = duration::from_ms(1000);
/// Large requests that make progress end, and connections without progress give way, within this order.
constexpr duration memory_retry_after = duration::from_ms(200);

/// The bytes of one read are parsed before the next one, so that the connections of a thread share a buffer.
std::array<char, read_buffer_bytes>& read_buffer()
{
    thread_local std::array<char, read_buffer_bytes> shared;
    return shared;
}

std::chrono::microseconds to_chrono(duration span)
{
    return std::chrono::microseconds(span.us());
}

/// The unread bytes that a connection is assumed to have in the system's buffer once some have arrived while
/// it isn't read.
constexpr std::size_t unread_bytes = std::size_t{64} << 10U;

http::response<http::string_body> to_response(http_reply reply, bool keep_alive)
{
    http::response<http::string_body> message(static_cast<http::status>(reply.status), http_version);
    if (!reply.content_type.empty())
    {
        message.set(http::field::content_type, reply.content_type);
    }
    for (const auto& [name, value] : reply.headers.items())
    {
        message.insert(name, value);
    }
    message.keep_alive(keep_alive);
    message.body() = std::move(reply.body);
    message.prepare_payload();
    return message;
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
// reading
// ---------------------------------------------------------------------------------------------------------

net::awaitable<server_connection::read_end> server_connection::read_request(const http_server::limits& bounds)
{
    const auto idle_ms = bounds.idle_timeout_ms > 0 ? bounds.idle_timeout_ms : bounds.request_timeout_ms;
    // A body that doesn't fit even alone is too large, whatever the limit for one body is.
    const std::size_t lone_bytes = message_memory::of_requests().bounds().lone_bytes;
    request_reader::state state =
        m_reader.begin({bounds.most_header_bytes, std::min(bounds.most_body_bytes, lone_bytes)});
    bool has_started = m_reader.has_started();
    time_point now = m_server->clock.now();
    time_point deadline = now + duration::from_ms(has_started ? bounds.request_timeout_ms : idle_ms);
    m_tracked->enter(has_started ? connection_phase::reading : connection_phase::idle, now);
    m_unreported_bytes = 0;
    while (state == request_reader::state::needs_more)
    {
        if (!co_await await_readable(deadline))
        {
            co_return has_started ? end_of_wait() : read_end::closed;
        }
        if (m_server->draining && !has_started)
        {
            co_return read_end::closed;
        }
        auto& buffer = read_buffer();
        boost::system::error_code failed;
        const std::size_t count =
            m_socket.read_some(net::buffer(buffer.data(), m_reader.wanted_bytes()), failed);
        if (failed == net::error::would_block)
        {
            continue;
        }
        if (failed)
        {
            co_return read_end::closed;
        }
        if (!has_started)
        {
            has_started = true;
            now = m_server->clock.now();
            deadline = now + duration::from_ms(bounds.request_timeout_ms);
            m_tracked->enter(connection_phase::reading, now);
        }
        state = m_reader.arrived(std::string_view(buffer.data(), count));
        note_progress(count);
        const bool is_refused =
            state != request_reader::state::needs_more && state != request_reader::state::complete;
        if (!is_refused && !has_memory())
        {
            co_return read_end::no_room;
        }
    }
    switch (state)
    {
    case request_reader::state::header_too_large:
        co_return read_end::header_too_large;
    case request_reader::state::body_too_large:
        co_return read_end::body_too_large;
    case request_reader::state::malformed:
        co_return read_end::malformed;
    case request_reader::state::needs_more:
    case request_reader::state::complete:
        break;
    }
    co_return read_end::complete;
}

/// @return whether the socket may be read; false at the deadline, and if the connection is evicted
net::awaitable<bool> server_connection::await_readable(time_point deadline)
{
    if (m_tracked->is_evicted())
    {
        co_return false;
    }
    set_deadline(deadline);
    boost::system::error_code failed;
    co_await m_socket.async_wait(tcp::socket::wait_read, net::redirect_error(net::use_awaitable, failed));
    m_deadline = time_point::never();
    co_return !failed && !m_timed_out && !m_tracked->is_evicted();
}

server_connection::read_end server_connection::end_of_wait() const
{
    if (m_tracked->is_evicted())
    {
        return read_end::no_room;
    }
    return m_timed_out ? read_end::timed_out : read_end::closed;
}

/// @return whether the request fits into the memory for requests, which others may have to leave for it
bool server_connection::has_memory()
{
    const message_memory::share& held = m_reader.memory();
    m_tracked->set_held_bytes(held.bytes());
    return held.fits() ||
           m_server->table.make_room_for_message(held, connection_phase::reading, m_server->clock.now());
}

void server_connection::note_progress(std::size_t bytes)
{
    m_unreported_bytes += bytes;
    if (m_unreported_bytes >= progress_bytes)
    {
        m_unreported_bytes = 0;
        m_tracked->progressed(m_server->clock.now());
    }
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
    const time_point deadline = now + discard_timeout;
    if (co_await write(message, deadline))
    {
        co_await discard_rest(deadline);
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

/// Reads what the caller still sends until it closes the connection.
net::awaitable<void> server_connection::discard_rest(time_point deadline)
{
    boost::system::error_code failed;
    m_socket.shutdown(tcp::socket::shutdown_send, failed);
    while ((!failed || failed == net::error::would_block) && co_await await_readable(deadline))
    {
        m_socket.read_some(net::buffer(read_buffer()), failed);
    }
}

// ---------------------------------------------------------------------------------------------------------
// answers
// ---------------------------------------------------------------------------------------------------------

/// Passes the request to the handler and writes its reply.
/// @return whether the connection may carry another request
net::awaitable<bool> server_connection::answer(const http_server::limits& bounds)
{
    if (!m_tracked->enter(connection_phase::answering, m_server->clock.now()))
    {
        co_await refuse(read_end::no_room);
        co_return false;
    }
    ++m_server->in_flight;
    const bool wants_keep_alive = m_reader.keeps_alive();
    const auto pending = std::make_shared<pending_reply>(m_socket.get_executor());
    const bool is_watched = hand_over(pending);
    while (!pending->is_set)
    {
        boost::system::error_code woken;
        co_await pending->ready.async_wait(net::redirect_error(net::use_awaitable, woken));
    }
    if (is_watched)
    {
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
    }
    m_reader.release();
    bool keep_alive = wants_keep_alive && !m_server->draining && !m_server->closing;
    keep_alive = !pending->reply.close_connection &&
                 co_await write_reply(std::move(pending->reply), keep_alive, bounds) && keep_alive;
    --m_server->in_flight;
    co_return keep_alive;
}

/// Calls the handler with the request.
/// @return whether the connection is watched for its end
bool server_connection::hand_over(const std::shared_ptr<pending_reply>& pending)
{
    http_request request = m_reader.take();
    request.on_gone = std::make_shared<std::function<void()>>();
    m_server->handle(request,
                     [pending, executor = m_socket.get_executor()](http_reply reply)
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
    const bool is_watched = *request.on_gone && !m_reader.has_bytes_ahead();
    if (is_watched)
    {
        watch_for_disconnect(pending, request.on_gone);
    }
    return is_watched;
}

/// Calls @a on_gone if the caller closes the connection before the reply. If bytes arrive instead, they
/// belong to the caller's next request, and the connection is no longer watched.
void server_connection::watch_for_disconnect(const std::shared_ptr<pending_reply>& pending,
                                             std::shared_ptr<std::function<void()>> on_gone)
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this(), pending,
                         on_gone = std::move(on_gone)](const boost::system::error_code& stopped)
                        {
                            if (stopped || pending->is_set || self->may_stay_open())
                            {
                                return;
                            }
                            (*on_gone)();
                            pending->is_set = true;
                            pending->reply.close_connection = true;
                            pending->ready.cancel();
                        });
}

/// @return whether the connection, whose request is being answered, is open, and the bytes that have arrived
/// ahead fit into the memory for requests
bool server_connection::may_stay_open()
{
    char byte = 0;
    const auto count = ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    {
        return true;
    }
    if (count <= 0)
    {
        return false;
    }
    // More may arrive before the reply, as much as the system's buffer takes.
    return m_reader.add_unread(unread_bytes) || has_memory();
}

/// @return whether the reply was written completely
net::awaitable<bool> server_connection::write_reply(http_reply reply, bool keep_alive,
                                                    const http_server::limits& bounds)
{
    const time_point now = m_server->clock.now();
    message_memory::share held(message_memory::of_answers());
    const bool fits = held.resize(reply.body.capacity());
    m_tracked->set_held_bytes(held.bytes());
    m_tracked->enter(connection_phase::writing, now);
    if (!fits)
    {
        // The request has run, so its reply is written whether or not others give way.
        (void)m_server->table.make_room_for_message(held, connection_phase::writing, now);
    }
    response message = to_response(std::move(reply), keep_alive);
    const bool is_written = co_await write(message, now + duration::from_ms(bounds.request_timeout_ms));
    m_tracked->set_held_bytes(0);
    co_return is_written;
}

net::awaitable<bool> server_connection::write(response& message, time_point deadline)
{
    set_deadline(deadline);
    boost::system::error_code failed;
    co_await http::async_write(m_socket, message, net::redirect_error(net::use_awaitable, failed));
    m_deadline = time_point::never();
    co_return !failed;
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
