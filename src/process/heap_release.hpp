#pragma once

#include <algorithm>
#include <cstddef>

namespace flaxtiller::shell
{

/// @brief Decides when memory that messages have freed is given back to the system: the allocator keeps most
/// of it otherwise. The class is deterministic.
class heap_release
{
  public:
    /// @param least_bytes the least memory for messages after which it is worth the time
    explicit heap_release(std::size_t least_bytes) noexcept : m_least_bytes(least_bytes)
    {
    }

    /// @param peak_bytes the most memory that messages have used since the last call
    /// @param used_bytes what they use now
    /// @return whether memory is to be given back now
    bool is_due(std::size_t peak_bytes, std::size_t used_bytes) noexcept
    {
        constexpr std::size_t fall = 4;
        m_peak_bytes = std::max(m_peak_bytes, peak_bytes);
        if (m_peak_bytes < m_least_bytes || used_bytes > m_peak_bytes / fall)
        {
            return false;
        }
        m_peak_bytes = 0;
        return true;
    }

  private:
    std::size_t m_least_bytes;
    std::size_t m_peak_bytes = 0;
};

} // namespace flaxtiller::shell
