#include <flaxtiller/routing/return_schedule.hpp>

#include <flaxtiller/core/spread_fraction.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller
{

namespace
{

constexpr double ms_per_s = 1000.0;

} // namespace

return_schedule::return_schedule(duration min_wait) : m_min_wait(min_wait)
{
}

void return_schedule::note_answers(std::size_t count, time_point now)
{
    const double elapsed_ms = std::max((now - m_noted_at).ms(), 0.0);
    m_greatest_rate_per_s *= std::exp2(-elapsed_ms / rate_half_life.ms());
    m_rate_per_s *= std::exp(-elapsed_ms / rate_window.ms());
    m_rate_per_s += static_cast<double>(count) * ms_per_s / rate_window.ms();
    m_greatest_rate_per_s = std::max(m_greatest_rate_per_s, m_rate_per_s);
    m_noted_at = now;
}

double return_schedule::rate_per_s(time_point now) const
{
    if (m_greatest_rate_per_s <= 0.0)
    {
        return initial_rate_per_s;
    }
    const double elapsed_ms = std::max((now - m_noted_at).ms(), 0.0);
    return std::max(m_greatest_rate_per_s * std::exp2(-elapsed_ms / rate_half_life.ms()), min_rate_per_s);
}

duration return_schedule::next_wait(std::size_t more_urgent, duration earliest, duration longest,
                                    time_point now)
{
    const duration spacing = duration::from_ms(ms_per_s / (rate_per_s(now) * return_share));
    const duration offset = std::max(earliest - m_min_wait, duration{});
    m_next = std::max(m_next, now + m_min_wait);
    const duration wait = m_next - now + offset;
    if (wait > longest)
    {
        if (m_next_beyond < m_next || m_next_beyond > m_next + max_spread)
        {
            m_next_beyond = m_next;
        }
        const duration true_wait = m_next_beyond - now + offset;
        m_next_beyond = m_next_beyond + spacing;
        return true_wait;
    }
    m_next = m_next + spacing;
    const auto steps = static_cast<double>(std::min(more_urgent, max_priorities));
    const duration later = wait * (1.0 + wait_per_priority * steps);
    // Not the longest wait itself, as many callers would then return at the same time.
    return later <= longest ? later : wait + (longest - wait) * spread_fraction(++m_assigned);
}

} // namespace flaxtiller
