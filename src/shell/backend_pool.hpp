#pragma once

#include "address.hpp"
#include "metrics.hpp"

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/dispatch/attempt_result.hpp>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
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

/// @brief The connections of this instance to one backend server, never more than its share of the limit.
///
/// One connection of the share stays free of subqueries, so that a cancel always finds one. Thread-safe.
class backend_pool
{
  public:
    using completion = std::function<void(const dispatch::attempt_result&)>;

    backend_pool(boost::asio::io_context& io, address at, metrics& counted);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    /// @brief Sets the bounds, and opens connections ahead of need.
    /// @param warm how many connections to keep open
    void configure(int most_connections, int warm);

    /// @brief Sends an attempt. @a done is called exactly once, from any thread: an attempt whose answer
    /// doesn't come soon after its deadline is cut.
    void send(backend_request request, completion done);

    /// @brief Asks the backend server to stop an attempt; the attempt's own end tells what came of it.
    void cancel(std::string id);

    /// @return connections open or being opened
    std::size_t connections() const noexcept;

  private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace flaxtiller::shell
