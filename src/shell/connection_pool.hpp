#pragma once

#include "address.hpp"
#include "http_connection.hpp"
#include "http_exchange.hpp"
#include "metrics.hpp"

#include <functional>
#include <memory>

namespace flaxtiller::shell
{

/// @brief Kept HTTP/1.1 connections of this instance to one peer, never more than its share of the peer's
/// limit. Thread-safe.
///
/// A connection is used again only after a whole reply that belongs to its request and left no bytes behind,
/// and not once the peer may be about to close it (`Keep-Alive: timeout`).
class connection_pool
{
  public:
    using completion = std::function<void(http_exchange_result)>;

    /// What @ref pools_by_server passes on to each pool.
    using home = connection_strand;

    /// @param strand where it lives, and on which completions are called
    connection_pool(const connection_strand& strand, address at, metrics& counted);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// @brief Sets the bounds, and opens connections ahead of need.
    /// @param warm how many connections to keep open
    void configure(int most_connections, int warm);

    /// @brief Sends a request. @a done is called exactly once, on the pool's strand; where this is called
    /// there, perhaps before it returns.
    void send(http_exchange exchange, completion done);

    /// @brief Closes the connection of an exchange that is under way; its end is `closed`.
    void close(std::uint64_t token);

    /// @return connections open or being opened
    std::size_t connections() const noexcept;

  private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace flaxtiller::shell
