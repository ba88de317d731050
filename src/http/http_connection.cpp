#include "http_connection.hpp"

#include "http_wire.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <string_view>
#include <utility>

namespace flaxtiller::shell
{

namespace net = boost::asio;
using tcp = net::ip::tcp;

namespace
{

/// A connection may be idle for at most this share of the peer's idle timeout: near the end of the timeout,
/// the close of the connection may already be in transit.
constexpr double idle_time_share = 0.8;

/// @return the time after which the connection of this reply must not be used again, according to the header
/// `Keep-Alive: timeout=N`; `never()` without a valid timeout
time_point peer_idle_deadline(const http_fields& headers, time_point now)
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
    return now + duration::from_ms(1000.0 * seconds * idle_time_share);
}

} // namespace

http_connection::http_connection(const connection_strand& strand) : m_socket(strand), m_timer(strand)
{
}

bool http_connection::is_open_and_idle()
{
    char byte = 0;
    const auto count = ::recv(m_socket.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_connection::connect(const tcp::endpoint& at, duration patience, connected done)
{
    m_connected = std::move(done);
    set_deadline(patience);
    m_socket.async_connect(at,
                           [self = shared_from_this()](const boost::system::error_code& failed)
                           {
                               self->m_deadline = time_point::never();
                               boost::system::error_code unset;
                               if (!failed)
                               {
                                   self->m_socket.set_option(tcp::no_delay(true), unset);
                                   self->m_socket.non_blocking(true, unset);
                               }
                               std::exchange(self->m_connected, {})(!failed && !unset);
                           });
}

void http_connection::exchange(http_exchange request, completion done)
{
    m_bytes = serialize_request(request);
    m_sent = 0;
    m_reply_started = false;
    m_request = std::move(request);
    // The text holds the body.
    m_request.body = {};
    m_result = {};
    m_done = std::move(done);
    m_reader.begin({m_request.id_header, m_request.signature_header});
    set_deadline(m_request.patience);
    write();
}

void http_connection::close(exchange_end as)
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_timer.cancel();
    if (m_done)
    {
        finish(as, false);
    }
}

// ---------------------------------------------------------------------------------------------------------
// exchange
// ---------------------------------------------------------------------------------------------------------

void http_connection::write()
{
    boost::system::error_code failed;
    while (m_sent < m_bytes.size())
    {
        m_sent += m_socket.write_some(net::buffer(m_bytes.data() + m_sent, m_bytes.size() - m_sent), failed);
        if (failed == net::error::would_block)
        {
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](const boost::system::error_code& stopped)
                                {
                                    if (self->m_done)
                                    {
                                        stopped ? self->close() : self->write();
                                    }
                                });
            return;
        }
        if (failed)
        {
            close();
            return;
        }
    }
    await_reply();
}

void http_connection::await_reply()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& stopped)
                        {
                            if (self->m_done)
                            {
                                stopped ? self->close() : self->read();
                            }
                        });
}

void http_connection::read()
{
    boost::system::error_code failed;
    const std::size_t bytes = m_socket.read_some(m_reader.space(), failed);
    if (failed == net::error::would_block)
    {
        await_reply();
        return;
    }
    const bool ended = failed == net::error::eof;
    if (failed && (!ended || !m_reply_started))
    {
        const bool hung_up = ended || failed == net::error::connection_reset;
        close(hung_up && !m_reply_started ? exchange_end::hung_up : exchange_end::cut);
        return;
    }
    m_reply_started = true;
    on_reader_state(failed ? m_reader.ended() : m_reader.arrived(bytes));
}

void http_connection::on_reader_state(reply_reader::state reader_state)
{
    switch (reader_state)
    {
    case reply_reader::state::needs_more:
        await_reply();
        return;
    case reply_reader::state::malformed:
        m_result.fault = m_reader.fault();
        close();
        return;
    case reply_reader::state::complete:
        finish_reply();
        return;
    }
}

void http_connection::finish_reply()
{
    m_reader.take(m_result);
    const std::string* echoed = m_result.headers.find(m_request.id_header);
    if (!m_request.id_header.empty() && (echoed == nullptr || *echoed != m_request.id))
    {
        // The reply belongs to another request. The connection can't be trusted, and the reply is discarded.
        m_result.headers = {};
        m_result.body.clear();
        finish(exchange_end::foreign, false);
        return;
    }
    reusable_until = peer_idle_deadline(m_result.headers, m_clock.now());
    finish(exchange_end::replied, m_reader.is_reusable());
}

void http_connection::finish(exchange_end end, bool reusable)
{
    m_deadline = time_point::never();
    m_result.end = end;
    // The completion may start the next exchange on this connection.
    const completion done = std::exchange(m_done, {});
    done(std::exchange(m_result, {}), reusable);
}

// ---------------------------------------------------------------------------------------------------------
// deadlines
// ---------------------------------------------------------------------------------------------------------

/// Most exchanges end long before their deadline, and the next exchange starts. Therefore the timer isn't
/// restarted for each exchange: it expires at the deadline of the first exchange, and is then started again
/// for the deadline of the exchange in progress.
void http_connection::set_deadline(duration patience)
{
    m_deadline = m_clock.now() + patience;
    if (m_deadline < m_timer_due)
    {
        start_timer(m_deadline);
    }
}

void http_connection::start_timer(time_point due)
{
    m_timer_due = due;
    m_timer.expires_after(std::chrono::microseconds((due - m_clock.now()).us()));
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

void http_connection::on_timer_due()
{
    m_timer_due = time_point::never();
    if (m_deadline == time_point::never())
    {
        return;
    }
    if (m_clock.now() >= m_deadline)
    {
        close();
        return;
    }
    start_timer(m_deadline);
}

} // namespace flaxtiller::shell
