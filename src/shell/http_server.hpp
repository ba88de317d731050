#pragma once

#include "address.hpp"
#include "http_fields.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace flaxtiller::shell
{

/// @brief A request as a handler sees it.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    http_fields headers;
    /// Of a server's handler: it may set this before it returns. Called, on the connection's strand, if the
    /// caller goes away before the reply; a reply given after that goes nowhere.
    std::shared_ptr<std::function<void()>> on_gone{};
};

/// @brief A reply; sent with its length and, unless told otherwise, as JSON.
struct http_reply
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    http_fields headers;
    /// Close the connection without a reply.
    bool close_connection = false;
};

/// @brief An HTTP/1.1 server whose handler may reply later, from any thread.
class http_server
{
  public:
    using respond = std::function<void(http_reply)>;
    using handler = std::function<void(const http_request&, respond)>;

    /// @brief Bounds on what a peer may do.
    struct limits
    {
        std::size_t most_body_bytes = std::size_t{1} << 20U;
        std::size_t most_header_bytes = std::size_t{16} << 10U;
        /// A request must be whole within this long.
        int request_timeout_ms = 10000;
        /// An idle connection is closed after this; 0 for as long as a request may take.
        int idle_timeout_ms = 0;
        /// Connections at once; 0 for no bound.
        std::size_t most_connections = 0;
        /// The first request of a new connection is handled this much later; for stand-ins.
        int new_connection_cost_ms = 0;
    };

    http_server(boost::asio::io_context& io, limits bounds, handler handle);

    /// @brief Accepts connections at this address.
    std::error_code listen(const address& at);

    /// @brief Takes no new connections, and closes each open one after its present request.
    void drain();

    /// @brief Serves on, but asks each caller by `Connection: close` to make a new connection for its next
    /// request.
    void close_after_reply();

    /// @brief Puts other bounds in force, from each connection's next request on.
    void set_limits(const limits& bounds);

    /// @return requests that aren't replied to yet
    std::size_t in_flight() const noexcept;

    /// @return connections that are open
    std::size_t connections() const noexcept;

    /// @return the most connections that were open at once
    std::size_t most_connections_seen() const noexcept;

    /// @return connections that were closed at once because there were too many
    std::size_t connections_refused() const noexcept;

  private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace flaxtiller::shell
