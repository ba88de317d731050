#pragma once

#include <atomic>
#include <cstddef>

namespace flaxtiller::shell
{

/// @brief The bounds on the memory for the messages of one direction.
struct message_memory_bounds
{
    /// For all messages together, in bytes.
    std::size_t all_bytes = 0;
    /// A message of this size or less always fits, whatever other peers send.
    std::size_t small_bytes = 0;
    /// A message of this size or less fits while it is nearly alone, also if it exceeds @ref all_bytes.
    std::size_t lone_bytes = 0;

    bool operator==(const message_memory_bounds&) const = default;
};

/// @brief Bounds the memory for messages that are being received or held, over all connections of the
/// process. Thread-safe.
///
/// A peer may send bytes without end, and many peers may send large messages at once. What counts is what is
/// held: capacities of buffers, not lengths of messages.
class message_memory
{
  public:
    explicit message_memory(message_memory_bounds bounds) noexcept
    {
        set_bounds(bounds);
    }

    /// @return the memory for requests of callers, which all connections of the process share
    static message_memory& of_requests() noexcept;

    /// @return the memory for replies of peers
    static message_memory& of_replies() noexcept;

    /// @return the memory for answers that callers haven't read yet
    static message_memory& of_answers() noexcept;

    /// @brief Replaces the bounds. Messages that are held already keep their memory.
    void set_bounds(message_memory_bounds bounds) noexcept;

    message_memory_bounds bounds() const noexcept;

    /// @brief The memory of one message; returned at the end of its life.
    class share
    {
      public:
        explicit share(message_memory& from) noexcept : m_from(from)
        {
        }

        ~share()
        {
            (void)resize(0);
        }

        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @brief Changes the size.
        /// @param bytes the memory that the message holds
        /// @return whether the message fits
        bool resize(std::size_t bytes) noexcept;

        /// @return whether the message fits at present
        bool fits() const noexcept;

        message_memory& memory() const noexcept
        {
            return m_from;
        }

        std::size_t bytes() const noexcept
        {
            return m_bytes;
        }

      private:
        message_memory& m_from;
        std::size_t m_bytes = 0;
    };

    /// @return the memory in use, in bytes, without what is about to be released
    std::size_t used_bytes() const noexcept;

    /// @return the most memory that was in use since the last call, in bytes
    std::size_t take_peak_bytes() noexcept;

    /// @brief Announces that messages of this size are about to be released.
    void add_leaving(std::size_t bytes) noexcept;

    /// @brief Reports that messages that were announced have been released.
    void remove_leaving(std::size_t bytes) noexcept;

  private:
    std::atomic<std::size_t> m_all_bytes{0};
    std::atomic<std::size_t> m_small_bytes{0};
    std::atomic<std::size_t> m_lone_bytes{0};
    std::atomic<std::size_t> m_used_bytes{0};
    std::atomic<std::size_t> m_leaving_bytes{0};
    std::atomic<std::size_t> m_peak_bytes{0};
};

} // namespace flaxtiller::shell
