#pragma once

#include "http_exchange.hpp"
#include "reply_reader.hpp"

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

/// @brief The strand on which a connection and its pool run. The concrete type is used instead of
/// `any_io_executor`, since copies and calls of type-erased executors made up 11% of the CPU samples of an
/// entry.
using connection_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// @brief A client's HTTP/1.1 connection to a peer, which carries one exchange at a time. All members must be
/// called on the connection's strand, and completions are called on it.
///
/// The connection uses callbacks and non-blocking socket calls: a write that the socket accepts at once needs
/// no iteration of the event loop, and a reply needs one. Exchanges implemented with coroutines took 1.5
/// times the CPU time (112 us instead of 73 us in an entry that runs the attempts of thirty shards, measured
/// with `getrusage`).
class http_connection : public std::enable_shared_from_this<http_connection>
{
  public:
    /// Called with whether the connection was established.
    using connected = std::function<void(bool)>;
    /// Called with the result of an exchange, and whether the connection may carry another exchange.
    using completion = std::function<void(http_exchange_result, bool)>;

    explicit http_connection(const connection_strand& strand);

    /// @brief Connects to the endpoint @a at, and gives up after @a patience.
    void connect(const boost::asio::ip::tcp::endpoint& at, duration patience, connected done);

    /// @brief Sends a request and waits for its reply. The connection isn't reusable after a reply to another
    /// request, after bytes that aren't a reply, or after a reply that isn't complete within the time limit.
    void exchange(http_exchange request, completion done);

    /// @brief Closes the socket. An exchange in progress ends with the result @a as.
    void close(exchange_end as = exchange_end::cut);

    /// @return whether the connection is open and holds no unread bytes. It is false if the peer closed the
    /// connection while it was idle, or if a reply arrived that was never read.
    bool is_open_and_idle();

    /// The end of the last exchange, and the time until which the connection may be used again.
    time_point idle_since{};
    time_point reusable_until = time_point::never();

  private:
    using socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, connection_strand>;
    using timer = boost::asio::basic_waitable_timer<
        std::chrono::steady_clock, boost::asio::wait_traits<std::chrono::steady_clock>, connection_strand>;

    void write();
    void await_reply();
    void read();
    void on_reader_state(reply_reader::state reader_state);
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
    /// Whether the first byte of the reply has arrived.
    bool m_reply_started = false;
    /// The deadline of the operation in progress, and the time at which the timer expires; `never()` if there
    /// is none.
    time_point m_deadline = time_point::never();
    time_point m_timer_due = time_point::never();
};

} // namespace flaxtiller::shell
