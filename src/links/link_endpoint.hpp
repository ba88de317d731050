#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief The transport of the links between entry instances and control replicas: WebSocket connections that
/// this process opens or accepts, each of which carries binary messages in both directions.
///
/// The interface is plain C++17, since websocketpp can't be compiled as C++20. The endpoint runs its own
/// thread, which calls all handlers. @ref connect, @ref send and @ref close may be called from any thread.
class link_endpoint
{
  public:
    /// Identifies a link within this endpoint; an identifier is never used again.
    using link_id = std::uint64_t;

    /// @brief The functions by which the endpoint notifies its owner.
    struct handlers
    {
        /// A link that was dialled or accepted is ready for messages.
        std::function<void(link_id)> opened;
        /// A link was closed, or a dial failed.
        std::function<void(link_id)> closed;
        /// A message arrived.
        std::function<void(link_id, std::string)> received;
    };

    /// @param callbacks called on the endpoint's thread
    /// @param max_received_bytes a larger message closes the link on which it arrives
    link_endpoint(handlers callbacks, std::size_t max_received_bytes);

    /// @brief Stops the thread and drops all links.
    ~link_endpoint();

    link_endpoint(const link_endpoint&) = delete;
    link_endpoint& operator=(const link_endpoint&) = delete;

    /// @brief Accepts links at this address.
    /// @return false if the address can't be used; @a why then holds the reason
    bool listen(const std::string& ip, std::uint16_t port, std::string& why);

    /// @brief Starts the thread. Links are opened and accepted only afterwards.
    void start();

    /// @brief Dials a peer. The endpoint calls `opened` if the dial succeeds and `closed` if it fails.
    link_id connect(const std::string& ip, std::uint16_t port);

    /// @brief Sends a message; has no effect if the link is closed.
    void send(link_id link, std::shared_ptr<const std::string> bytes);

    /// @brief Closes a link that is open; has no effect on a dial in progress.
    void close(link_id link);

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
