#include "caller_watch.hpp"

#include "log.hpp"

#include "http/message_memory.hpp"

#include <malloc.h>

namespace flaxtiller::shell
{

namespace
{

/// The share of the memory of a process below which freed memory isn't given back.
constexpr std::size_t least_release_divisor = 16;

} // namespace

caller_watch::caller_watch(std::size_t memory_bytes) noexcept
    : m_release(memory_bytes / least_release_divisor)
{
}

void caller_watch::check(const http_server& server)
{
    message_memory& requests = message_memory::of_requests();
    message_memory& answers = message_memory::of_answers();
    const http_server::pressure now = server.pressure_so_far();
    if (now != m_last)
    {
        log(log_level::warning, "callers_press",
            {{"connections", server.connections()},
             {"evicted", now.evicted - m_last.evicted},
             {"connections_refused", now.connections_refused - m_last.connections_refused},
             {"requests_refused", now.requests_refused - m_last.requests_refused},
             {"request_bytes", requests.used_bytes()},
             {"answer_bytes", answers.used_bytes()}});
        m_last = now;
    }
    const std::size_t peak = requests.take_peak_bytes() + answers.take_peak_bytes();
    if (m_release.is_due(peak, requests.used_bytes() + answers.used_bytes()))
    {
        ::malloc_trim(0);
        log(log_level::info, "memory_released", {{"peak_bytes", peak}});
    }
}

} // namespace flaxtiller::shell
