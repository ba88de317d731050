#pragma once

#include "address.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace flaxtiller::shell
{

/// @brief A request as a handler sees it; header names are in lower case.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
};

/// @brief A reply; sent with its length and, unless told otherwise, as JSON.
struct http_reply
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
    /// Close the connection without a reply.
    bool cut = false;
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
        /// A request must be whole, and an idle connection used again, within this long.
        int request_timeout_ms = 10000;
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
