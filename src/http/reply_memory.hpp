#pragma once

#include <atomic>
#include <cstddef>

namespace flaxtiller::shell
{

/// @brief Bounds the memory for replies that are being received, over all connections of the process.
/// Thread-safe.
///
/// A peer may send bytes without end. A reply within @ref small_reply_bytes is always received, so that it
/// doesn't depend on what other peers send; a larger one only while all of them together fit.
class reply_memory
{
  public:
    /// A reply of this size or less always fits.
    static constexpr std::size_t small_reply_bytes = std::size_t{256} << 10U;
    /// The default of the memory for all replies, in bytes: a fifth of the memory of a small instance.
    static constexpr std::size_t default_bytes = std::size_t{32} << 20U;

    /// @param most_bytes the memory for all replies, in bytes
    explicit reply_memory(std::size_t most_bytes = default_bytes) noexcept : m_most_bytes(most_bytes)
    {
    }

    /// @return the memory that all connections of the process share
    static reply_memory& of_process() noexcept;

    /// @brief The memory of one reply; returned at the end of its life.
    class share
    {
      public:
        explicit share(reply_memory& from) noexcept : m_from(from)
        {
        }

        ~share()
        {
            (void)resize(0);
        }

        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// @brief Changes the size.
        /// @param bytes the size of the reply as far as it was received
        /// @return whether the reply fits
        bool resize(std::size_t bytes) noexcept;

      private:
        reply_memory& m_from;
        std::size_t m_bytes = 0;
    };

    std::size_t most_bytes() const noexcept
    {
        return m_most_bytes;
    }

    /// @return the memory in use, in bytes
    std::size_t used_bytes() const noexcept
    {
        return m_used_bytes.load(std::memory_order_relaxed);
    }

  private:
    std::size_t m_most_bytes;
    std::atomic<std::size_t> m_used_bytes{0};
};

} // namespace flaxtiller::shell
