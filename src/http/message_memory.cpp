#include "message_memory.hpp"

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

/// The bounds of a process whose settings state none, for an instance of 256 MiB.
constexpr message_memory_bounds default_request_bounds{std::size_t{42} << 20U, std::size_t{32} << 10U,
                                                       std::size_t{51} << 20U};
constexpr message_memory_bounds default_reply_bounds{std::size_t{32} << 20U, std::size_t{256} << 10U,
                                                     std::size_t{51} << 20U};
constexpr message_memory_bounds default_answer_bounds{std::size_t{42} << 20U, std::size_t{16} << 10U,
                                                      std::size_t{51} << 20U};
/// A message counts as nearly alone while the others use at most this part of the memory.
constexpr std::size_t others_divisor = 8;

} // namespace

message_memory& message_memory::of_requests() noexcept
{
    static message_memory shared(default_request_bounds);
    return shared;
}

message_memory& message_memory::of_replies() noexcept
{
    static message_memory shared(default_reply_bounds);
    return shared;
}

message_memory& message_memory::of_answers() noexcept
{
    static message_memory shared(default_answer_bounds);
    return shared;
}

void message_memory::set_bounds(message_memory_bounds bounds) noexcept
{
    m_all_bytes = bounds.all_bytes;
    m_small_bytes = bounds.small_bytes;
    m_lone_bytes = bounds.lone_bytes;
}

message_memory_bounds message_memory::bounds() const noexcept
{
    return {m_all_bytes, m_small_bytes, m_lone_bytes};
}

std::size_t message_memory::used_bytes() const noexcept
{
    const std::size_t leaving = m_leaving_bytes.load(std::memory_order_relaxed);
    const std::size_t used = m_used_bytes.load(std::memory_order_relaxed);
    return used - std::min(used, leaving);
}

std::size_t message_memory::take_peak_bytes() noexcept
{
    return m_peak_bytes.exchange(m_used_bytes.load(std::memory_order_relaxed), std::memory_order_relaxed);
}

void message_memory::add_leaving(std::size_t bytes) noexcept
{
    m_leaving_bytes.fetch_add(bytes, std::memory_order_relaxed);
}

void message_memory::remove_leaving(std::size_t bytes) noexcept
{
    m_leaving_bytes.fetch_sub(bytes, std::memory_order_relaxed);
}

bool message_memory::share::resize(std::size_t bytes) noexcept
{
    if (bytes != m_bytes)
    {
        // Unsigned arithmetic wraps, so that a smaller size is subtracted.
        const std::size_t growth = bytes - m_bytes;
        const std::size_t used = m_from.m_used_bytes.fetch_add(growth, std::memory_order_relaxed) + growth;
        m_bytes = bytes;
        if (used > m_from.m_peak_bytes.load(std::memory_order_relaxed))
        {
            // Another thread may store a smaller peak at the same moment, which is as good.
            m_from.m_peak_bytes.store(used, std::memory_order_relaxed);
        }
    }
    return fits();
}

bool message_memory::share::fits() const noexcept
{
    const message_memory_bounds bounds = m_from.bounds();
    const std::size_t used = m_from.used_bytes();
    const std::size_t others = used - std::min(used, m_bytes);
    const bool is_alone = m_bytes <= bounds.lone_bytes && others <= bounds.all_bytes / others_divisor;
    return m_bytes <= bounds.small_bytes || used <= bounds.all_bytes || is_alone;
}

} // namespace flaxtiller::shell
