#pragma once

#include "address.hpp"
#include "http_fields.hpp"
#include "http_request.hpp"
#include "request_reader.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace flaxtiller::shell
{

/// @brief An HTTP reply. The server adds its `Content-Length`. The content type is JSON by default.
struct http_reply
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    http_fields headers;
    /// Close the connection without a reply.
    bool close_connection = false;
};

/// @brief An HTTP/1.1 server with an asynchronous handler.
///
/// The server calls the handler with each request and a function to reply with. The handler may call this
/// function after it returns, and from any thread.
class http_server
{
  public:
    using respond = std::function<void(http_reply)>;
    using handler = std::function<void(const http_request&, respond)>;

    /// @brief The limits on connections and requests.
    struct limits
    {
        std::size_t most_body_bytes = std::size_t{1} << 20U;
        std::size_t most_header_bytes = std::size_t{16} << 10U;
        /// The time within which a request must arrive completely.
        int request_timeout_ms = 10000;
        /// The time after which an idle connection is closed; 0 to use @ref request_timeout_ms.
        int idle_timeout_ms = 0;
        /// The maximum number of open connections; 0 for no limit.
        std::size_t most_connections = 0;
        /// Whether a connection above the limit is closed at once. Otherwise one that waits for its caller
        /// gives way.
        bool refuses_connections = false;
        /// The most unread bytes of a connection, about; 0 for what the system chooses. Takes effect when the
        /// server starts to listen.
        int receive_buffer_bytes = 0;
        /// The delay before the first request of a new connection is read. Test servers use it to simulate
        /// the cost of a new connection.
        int new_connection_cost_ms = 0;
    };

    /// Called with the head of each request that is refused before it was read completely, and with the
    /// status of the refusal; from any thread.
    using refusal_handler = std::function<void(const http_request& head, int status)>;

    http_server(boost::asio::io_context& io, limits bounds, handler handle, refusal_handler refused = {});

    /// @brief Accepts connections at the address @a at.
    /// @return an error if the address can't be listened on
    std::error_code listen(const address& at);

    /// @brief Accepts no more connections, and closes each open connection after its current request.
    void drain();

    /// @brief Sends `Connection: close` with each further reply, so that each caller opens a new connection
    /// for its next request. The server still accepts connections.
    void close_after_reply();

    /// @brief Replaces the limits. Each connection uses the new limits from its next request on.
    void set_limits(const limits& bounds);

    /// @return the number of requests without a reply yet
    std::size_t in_flight() const noexcept;

    /// @return the number of open connections
    std::size_t connections() const noexcept;

    /// @return the maximum number of connections that were open at the same time
    std::size_t most_connections_seen() const noexcept;

    /// @return the number of connections that were closed on accept because the limit was reached
    std::size_t connections_refused() const noexcept;

    /// @brief What callers were refused so far because the limits of the process were reached.
    struct pressure
    {
        /// Connections that gave way to others.
        std::size_t evicted = 0;
        /// Connections that were closed on accept.
        std::size_t connections_refused = 0;
        /// Requests for which there was no memory, or whose connections gave way.
        std::size_t requests_refused = 0;

        bool operator==(const pressure&) const = default;
    };

    pressure pressure_so_far() const noexcept;

    struct state;

  private:
    std::shared_ptr<state> m_state;
};

} // namespace flaxtiller::shell
