#include "reply_memory.hpp"

namespace flaxtiller::shell
{

reply_memory& reply_memory::of_process() noexcept
{
    static reply_memory shared;
    return shared;
}

bool reply_memory::share::resize(std::size_t bytes) noexcept
{
    if (bytes == m_bytes)
    {
        return true;
    }
    // Unsigned arithmetic wraps, so that a smaller size is subtracted.
    const std::size_t growth = bytes - m_bytes;
    const std::size_t used = m_from.m_used_bytes.fetch_add(growth, std::memory_order_relaxed) + growth;
    m_bytes = bytes;
    return bytes <= small_reply_bytes || used <= m_from.m_most_bytes;
}

} // namespace flaxtiller::shell
