// The part of server_connection that reads requests.

#include "server_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>

namespace flaxtiller::shell
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace
{

/// A caller makes progress with each piece of this size, so that single bytes don't count.
constexpr std::size_t progress_bytes = 4096;

} // namespace

/// The bytes of one read are parsed before the next one, so that the connections of a thread share a buffer.
std::array<char, server_connection::read_buffer_bytes>& server_connection::read_buffer()
{
    thread_local std::array<char, read_buffer_bytes> shared;
    return shared;
}

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

} // namespace flaxtiller::shell
