#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flaxtiller::shell
{

/// @brief One process's end of the links between our processes: WebSocket connections, made or accepted.
///
/// Plain C++17 interface: websocketpp can't be compiled as C++20. Runs a thread of its own, from which all
/// handlers are called. @ref send may be called from any thread.
class link_endpoint
{
  public:
    using link_id = std::uint64_t;

    /// @brief What the endpoint tells its owner.
    struct handlers
    {
        std::function<void(link_id)> opened;
        std::function<void(link_id)> closed;
        std::function<void(link_id, std::string)> received;
    };

    /// @param most_bytes larger messages close their link
    link_endpoint(handlers told, std::size_t most_bytes);

    /// @brief Stops the thread and closes all links.
    ~link_endpoint();

    link_endpoint(const link_endpoint&) = delete;
    link_endpoint& operator=(const link_endpoint&) = delete;

    /// @brief Accepts links at this address.
    /// @return false, with @a why set, if the address can't be used
    bool listen(const std::string& ip, std::uint16_t port, std::string& why);

    /// @brief Starts the thread.
    void start();

    /// @brief Tries to make a link; `opened` or `closed` tells what became of it.
    link_id connect(const std::string& ip, std::uint16_t port);

    /// @brief Sends a message; nothing happens if the link is gone.
    void send(link_id link, std::shared_ptr<const std::string> bytes);

    /// @brief Closes a link.
    void close(link_id link);

  private:
    struct implementation;

    std::unique_ptr<implementation> m_implementation;
};

} // namespace flaxtiller::shell
