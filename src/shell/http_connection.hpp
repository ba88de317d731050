#pragma once

#include "http_exchange.hpp"
#include "http_wire.hpp"

#include <flaxtiller/core/clock.hpp>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief The strand on which a connection and its pool live. A type of its own, not any executor: copies and
/// calls of type-erased ones were 11% of an entry's processor samples.
using connection_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// @brief One HTTP/1.1 connection to a peer, which carries one exchange at a time. Use it on its strand only;
/// its completions are called there.
///
/// A send that the socket takes at once needs no turn of the event loop, a reply one turn. Whole exchanges
/// with coroutines took 1.5 times the processor time (112 and 73 us in an entry that runs thirty shards'
/// attempts, by `getrusage`).
class http_connection : public std::enable_shared_from_this<http_connection>
{
  public:
    /// Told whether the connection stands.
    using connected = std::function<void(bool)>;
    /// Told what came of an exchange, and whether the connection may carry another one.
    using completion = std::function<void(http_exchange_result, bool)>;

    explicit http_connection(const connection_strand& strand);

    void connect(const boost::asio::ip::tcp::endpoint& at, duration patience, connected done);

    /// @brief Sends a request and awaits its reply. A foreign one, or one that isn't whole in time, ends the
    /// connection, too.
    void exchange(http_exchange request, completion done);

    /// @brief Ends what is under way.
    void close(exchange_end as = exchange_end::cut);

    /// @return whether it stands and holds no unread bytes: neither closed by the peer while it was idle, nor
    /// with a reply that nobody read
    bool is_open_and_idle();

    /// When it was used last, and until when the peer keeps it.
    time_point idle_since{};
    time_point reusable_until = time_point::never();

  private:
    using socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, connection_strand>;
    using timer = boost::asio::basic_waitable_timer<
        std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, connection_strand>;

    void write();
    void await_reply();
    void read();
    void on_reader_state(reply_reader::state found);
    void finish_reply();
    void finish(exchange_end end, bool reusable);
    void set_deadline(duration patience);
    void start_timer(time_point due);
    void on_timer_due();

    socket m_socket;
    timer m_timer;
    monotonic_clock m_clock;
    reply_reader m_reader;
    http_exchange m_request;
    http_exchange_result m_result;
    completion m_done;
    connected m_connected;
    std::string m_bytes;
    std::size_t m_sent = 0;
    /// Whether any of the reply came.
    bool m_reply_started = false;
    /// When what is under way is given up, and when the timer next looks; never while it doesn't.
    time_point m_deadline = time_point::never();
    time_point m_timer_due = time_point::never();
};

} // namespace flaxtiller::shell
