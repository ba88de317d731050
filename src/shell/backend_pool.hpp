#pragma once

#include "connection_pool.hpp"

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/dispatch/attempt_result.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace flaxtiller::shell
{

/// @brief What an attempt sends to a backend server.
struct backend_request
{
    /// Unique over all instances and their runs; the backend server echoes it.
    std::string id;
    std::string service;
    int shard = 0;
    int shards = 1;
    index_version version;
    duration left{};
    std::string body;
};

/// @brief Speaks the product's own protocol with one backend server (docs/protocols.md). Thread-safe.
///
/// One connection of the share stays free of subqueries, so that a cancel always finds one.
class backend_pool : public std::enable_shared_from_this<backend_pool>
{
  public:
    using completion = std::function<void(const dispatch::attempt_result&)>;

    /// What @ref pools_by_server passes on to each pool.
    using home = boost::asio::io_context&;

    backend_pool(boost::asio::io_context& io, address at, metrics& counted);

    /// @brief Sets the bounds, and opens connections ahead of need.
    /// @param warm how many connections to keep open
    void configure(int most_connections, int warm)
    {
        m_connections.configure(most_connections, warm);
    }

    /// @brief Sends an attempt. @a done is called exactly once, from any thread: an attempt whose answer
    /// doesn't come soon after its deadline is cut.
    void send(backend_request request, completion done);

    /// @brief Asks the backend server to stop an attempt; the attempt's own end tells what came of it.
    void cancel(std::string id);

    /// @return connections open or being opened
    std::size_t connections() const noexcept
    {
        return m_connections.connections();
    }

  private:
    void send_next_cancel();

    const std::string m_host;
    connection_pool m_connections;
    std::mutex m_mutex;
    std::deque<std::string> m_cancels;
    bool m_cancelling = false;
};

} // namespace flaxtiller::shell
