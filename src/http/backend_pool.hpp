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

/// @brief The request that an attempt of a subquery sends to a backend server.
struct backend_request
{
    /// Unique over all instances and their runs; the backend server repeats it in its reply.
    std::string id;
    std::string service;
    int shard = 0;
    int shards = 1;
    index_version version;
    /// The time left until the deadline.
    duration left{};
    std::string body;
};

/// @brief Sends subqueries and cancellations to one backend server, by the subquery protocol that
/// docs/protocols.md describes. Thread-safe.
///
/// One connection of this instance's share is not used for subqueries, so that a cancellation always finds a
/// free connection.
class backend_pool : public std::enable_shared_from_this<backend_pool>
{
  public:
    using completion = std::function<void(const dispatch::attempt_result&)>;

    /// The type of the constructor's first argument, which @ref pools_by_server passes to each pool.
    using execution_context = boost::asio::io_context&;

    backend_pool(boost::asio::io_context& io, address at, metrics& pool_metrics);

    /// @brief Sets the limits, and opens connections in advance.
    /// @param most_connections maximum number of connections
    /// @param warm number of connections to keep open in advance
    void configure(int most_connections, int warm)
    {
        m_connections.configure(most_connections, warm);
    }

    /// @brief Sends an attempt. The pool calls @a done exactly once, on any thread: an attempt whose answer
    /// doesn't arrive soon after the deadline ends as `cut`.
    void send(backend_request request, completion done);

    /// @brief Requests that the backend server stop an attempt. The result of the attempt itself shows
    /// whether it was stopped.
    void cancel(std::string id);

    /// @return the number of connections that are open or being opened
    std::size_t connections() const noexcept
    {
        return m_connections.connections();
    }

  private:
    /// @brief Sends the next queued cancellation, if any, and continues after its reply.
    void send_next_cancel();

    const std::string m_host;
    connection_pool m_connections;
    std::mutex m_mutex;
    /// Identifiers of attempts whose cancellation wasn't sent yet.
    std::deque<std::string> m_cancels;
    /// True while a cancellation is in progress.
    bool m_cancelling = false;
};

} // namespace flaxtiller::shell
