#pragma once

#include "http_server_state.hpp"
#include "request_reader.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

namespace flaxtiller::shell
{

/// @brief A connection that a server accepted: moves bytes between the socket, the reader of requests and the
/// handler. All members run on the connection's strand.
class server_connection : public std::enable_shared_from_this<server_connection>
{
  public:
    server_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server::state> server);

    /// @brief Adds the connection to the table of its server, and serves its requests until it is closed.
    static void start(std::shared_ptr<server_connection> self);

  private:
    using response = boost::beast::http::response<boost::beast::http::string_body>;

    /// The reply of the handler, which may come from another thread and is posted to the strand.
    struct pending_reply
    {
        explicit pending_reply(const boost::asio::any_io_executor& executor);

        boost::asio::steady_timer ready;
        bool is_set = false;
        http_reply reply;
    };

    /// How the reading of a request ended.
    enum class read_end
    {
        complete,
        /// The caller closed the connection, or there was no request to refuse.
        closed,
        timed_out,
        malformed,
        header_too_large,
        body_too_large,
        /// The memory for requests is used up, or another connection takes the place of this one.
        no_room,
    };

    /// The most bytes of one read.
    static constexpr std::size_t read_buffer_bytes = std::size_t{64} << 10U;

    static std::array<char, read_buffer_bytes>& read_buffer();
    static http_reply refusal_of(read_end reason);
    static response to_response(http_reply reply, bool keep_alive);

    boost::asio::awaitable<void> serve();
    boost::asio::awaitable<read_end> read_request(const http_server::limits& bounds);
    boost::asio::awaitable<bool> await_readable(time_point deadline);
    read_end end_of_wait() const;
    bool has_memory();
    void note_progress(std::size_t bytes);
    boost::asio::awaitable<void> refuse(read_end reason);
    void write_at_once(const response& message);
    boost::asio::awaitable<void> discard_rest();
    boost::asio::awaitable<bool> answer(const http_server::limits& bounds);
    bool hand_over(const std::shared_ptr<pending_reply>& pending);
    void watch_for_disconnect(const std::shared_ptr<pending_reply>& pending,
                              std::shared_ptr<std::function<void()>> on_gone);
    bool may_stay_open();
    boost::asio::awaitable<bool> write_reply(http_reply reply, bool keep_alive,
                                             const http_server::limits& bounds);
    boost::asio::awaitable<bool> write(response& message, time_point deadline);
    void set_deadline(time_point deadline);
    void start_timer(time_point due);
    void on_timer_due();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<http_server::state> m_server;
    std::shared_ptr<tracked_connection> m_tracked;
    request_reader m_reader;
    /// The end of the wait in progress, and the time at which the timer expires; `never()` if there is none.
    time_point m_deadline = time_point::never();
    time_point m_timer_due = time_point::never();
    bool m_timed_out = false;
    /// Whether bytes have arrived while the request is being answered.
    bool m_has_unread = false;
    /// Bytes of the message in progress since its progress was last reported.
    std::size_t m_unreported_bytes = 0;
};

} // namespace flaxtiller::shell
