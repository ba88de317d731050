// The part of server_connection that passes requests to the handler and writes its replies.

#include "server_connection.hpp"

#include "http_status.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;

namespace
{

constexpr unsigned http_version = 11;
/// The unread bytes that a connection is assumed to have in the system's buffer once some have arrived while
/// it isn't read.
constexpr std::size_t unread_bytes = std::size_t{64} << 10U;

bool is_refusal(const http_reply& reply)
{
    return reply.status == http_unavailable || reply.status == http_too_many;
}

} // namespace

server_connection::response server_connection::to_response(http_reply reply, bool keep_alive)
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
    message.body() = std::move(reply.body);
    message.prepare_payload();
    return message;
}

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
    // A caller that sends its next requests without waiting for the reply doesn't wait for `Retry-After`
    // either. All its requests at once would keep other callers from the slots that become free.
    const bool is_insisting = is_refusal(pending->reply) && (m_has_unread || m_reader.has_bytes_ahead());
    m_reader.release();
    const bool keep_alive = wants_keep_alive && !is_insisting && !m_server->draining && !m_server->closing;
    const bool is_written = !pending->reply.close_connection &&
                            co_await write_reply(std::move(pending->reply), keep_alive, bounds);
    --m_server->in_flight;
    if (is_written && is_insisting)
    {
        co_await discard_rest();
    }
    co_return is_written&& keep_alive;
}

/// Calls the handler with the request.
/// @return whether the connection is watched for its end
bool server_connection::hand_over(const std::shared_ptr<pending_reply>& pending)
{
    m_has_unread = false;
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
    m_has_unread = true;
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

} // namespace flaxtiller::shell
