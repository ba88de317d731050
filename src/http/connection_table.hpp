#pragma once

#include "connection_eviction.hpp"
#include "message_memory.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace flaxtiller::shell
{

/// @brief A server's connection as the table of the server reads it. The connection's strand changes it; any
/// thread may read and evict it.
class tracked_connection
{
  public:
    /// @param stop ends what the connection waits for; called from any thread, at most once
    tracked_connection(time_point now, std::function<void()> stop);

    /// @brief Changes the phase.
    /// @return false if the connection has been evicted, and must be closed
    bool enter(connection_phase next, time_point now);

    /// @brief Reports progress of the message that is being read.
    void progressed(time_point now) noexcept;

    void set_held_bytes(std::size_t bytes) noexcept;

    bool is_evicted() const noexcept;

    /// @brief Evicts the connection, unless its phase has changed to another one than @a from.
    /// @return whether it is evicted now
    bool evict(connection_phase from);

    /// @brief Announces that the connection, which is evicted, is about to release its message.
    void announce_release(message_memory& memory) noexcept;

    /// @brief Reports that the connection holds no message any longer.
    void on_released() noexcept;

    connection_view view() const noexcept;

  private:
    std::atomic<connection_phase> m_phase{connection_phase::idle};
    std::atomic<std::int64_t> m_still_since_us;
    std::atomic<std::size_t> m_held_bytes{0};
    std::function<void()> m_stop;
    /// What was announced, and to which memory.
    std::size_t m_leaving_bytes = 0;
    std::atomic<message_memory*> m_leaving_memory{nullptr};
};

/// @brief The open connections of a server; decides which of them give way. Thread-safe.
class connection_table
{
  public:
    void add(std::shared_ptr<tracked_connection> connection);
    void remove(const std::shared_ptr<tracked_connection>& connection);

    std::size_t size() const noexcept
    {
        return m_size.load(std::memory_order_relaxed);
    }

    /// @return the number of connections that were evicted so far
    std::size_t evicted() const noexcept
    {
        return m_evicted.load(std::memory_order_relaxed);
    }

    /// @brief Evicts a connection for a new one.
    /// @return whether one gives way
    bool make_room_for_connection(time_point now);

    /// @brief Evicts connections that hold messages until the one of @a wanted fits. A connection that has
    /// just made progress doesn't give way.
    /// @param phase the phase of the connections that give way
    /// @return whether it fits as soon as they are closed
    bool make_room_for_message(const message_memory::share& wanted, connection_phase phase, time_point now);

  private:
    /// Evicted connections that may be open at the same time until they are closed.
    static constexpr std::ptrdiff_t max_leaving = 32;

    std::vector<connection_view> views() const;

    mutable std::mutex m_mutex;
    std::vector<std::shared_ptr<tracked_connection>> m_connections;
    std::atomic<std::size_t> m_size{0};
    std::atomic<std::size_t> m_evicted{0};
};

} // namespace flaxtiller::shell
