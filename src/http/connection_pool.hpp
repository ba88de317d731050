#pragma once

#include "address.hpp"
#include "http_connection.hpp"
#include "http_exchange.hpp"
#include "process/metrics.hpp"

#include <functional>
#include <memory>

namespace flaxtiller::shell
{

/// @brief A pool of persistent HTTP/1.1 connections from this instance to one peer. The pool never has more
/// connections than this instance's share of the peer's connection limit. Thread-safe.
///
/// A connection is reused only after a complete reply that belongs to its request and that no further bytes
/// follow, and only before the time at which the peer may close it (`Keep-Alive: timeout`).
class connection_pool
{
  public:
    using completion = std::function<void(http_exchange_result)>;

    /// The type of the constructor's first argument, which @ref pools_by_server passes to each pool.
    using execution_context = connection_strand;

    /// @param strand runs the work of the pool and calls the completions
    /// @param at address of the peer
    connection_pool(const connection_strand& strand, address at, metrics& pool_metrics);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// @brief Sets the limits, and opens connections in advance.
    /// @param most_connections maximum number of connections
    /// @param warm number of connections to keep open in advance
    void configure(int most_connections, int warm);

    /// @brief Sends a request. The pool calls @a done exactly once, on its strand; if this function is called
    /// on the strand, @a done may be called before the function returns.
    void send(http_exchange exchange, completion done);

    /// @brief Closes the connection of an exchange in progress, which then ends with `closed` unless the
    /// reply was received completely.
    void close(std::uint64_t token);

    /// @return the number of connections that are open or being opened
    std::size_t connections() const noexcept;

  private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace flaxtiller::shell
