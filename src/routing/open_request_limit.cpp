#include <flaxtiller/routing/open_request_limit.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller
{

namespace
{

/// More intervals without an arrival change nothing further: the bound has reached its maximum.
constexpr int max_intervals = 32;

} // namespace

open_request_limit::open_request_limit(std::size_t max_open)
    : m_max(static_cast<double>(max_open)), m_bound(m_max)
{
}

void open_request_limit::set_shortest_objective(duration objective)
{
    m_tolerated = objective * tolerated_share;
    if (m_tolerated <= duration{})
    {
        m_bound = m_max;
    }
}

void open_request_limit::update(duration delay, time_point now)
{
    const duration elapsed = now - m_updated_at;
    if (elapsed < interval)
    {
        return;
    }
    m_updated_at = now;
    decay_counts(elapsed);
    if (m_tolerated > duration{})
    {
        adapt(delay, static_cast<int>(std::min<double>(elapsed.ms() / interval.ms(), max_intervals)));
    }
    m_last_delay = delay;
}

/// The bound falls only if the delay was too long at two successive updates and does not fall by itself,
/// since the average of the delay stays high for a while after a single late timer.
void open_request_limit::adapt(duration delay, int intervals)
{
    const bool late = delay > m_tolerated;
    const bool persists = late && m_was_late && delay >= m_last_delay * falling_share;
    m_was_late = late;
    const bool idle = delay <= m_tolerated * idle_delay_share || m_open <= idle_open_requests;
    if (late && !idle)
    {
        if (persists)
        {
            const double used = std::min(m_bound, static_cast<double>(m_open));
            m_bound = used * decrease_factor;
        }
    }
    else
    {
        for (int i = 0; i < intervals && m_bound < m_max; ++i)
        {
            m_bound = idle ? m_bound * idle_increase_factor : m_bound + increase_per_interval;
        }
    }
    m_bound = std::min(std::max(m_bound, static_cast<double>(min_bound)), m_max);
}

void open_request_limit::decay_counts(duration elapsed)
{
    const double kept = std::exp2(-elapsed.ms() / count_half_life.ms());
    for (auto& [priority, item] : m_priorities)
    {
        item.arrived *= kept;
        item.admitted *= kept;
    }
    std::erase_if(m_priorities,
                  [](const auto& item)
                  {
                      return item.second.open == 0 && item.second.arrived < forgotten_arrivals;
                  });
}

std::size_t open_request_limit::more_urgent_priorities(int priority) const
{
    return static_cast<std::size_t>(std::distance(m_priorities.begin(), m_priorities.lower_bound(priority)));
}

double open_request_limit::share_of(int priority, bool late) const
{
    const auto more_urgent = static_cast<double>(more_urgent_priorities(priority));
    const double share = std::max(1.0 - share_per_priority * more_urgent, min_priority_share);
    return late ? share * late_part : share;
}

bool open_request_limit::is_below_min_share(const priority_state& item) const
{
    double arrived = 0.0;
    double admitted = 0.0;
    for (const auto& [priority, other] : m_priorities)
    {
        arrived += other.arrived;
        admitted += other.admitted;
    }
    return item.admitted * arrived < min_admitted_share * item.arrived * admitted;
}

bool open_request_limit::admits(int priority, bool late)
{
    priority_state& item = m_priorities[priority];
    item.arrived += 1.0;
    const bool has_room = static_cast<double>(m_open) < m_bound * share_of(priority, late);
    if (!has_room && m_own_open >= min_own_requests && !is_below_min_share(item))
    {
        ++item.total_refused;
        return false;
    }
    item.admitted += 1.0;
    ++item.total_admitted;
    return true;
}

void open_request_limit::on_open(int priority, bool delegated)
{
    ++m_open;
    m_own_open += delegated ? 0 : 1;
    ++m_priorities[priority].open;
}

void open_request_limit::on_end(int priority, bool delegated)
{
    --m_open;
    m_own_open -= delegated ? 0 : 1;
    --m_priorities[priority].open;
}

std::size_t open_request_limit::bound() const noexcept
{
    return static_cast<std::size_t>(m_bound);
}

} // namespace flaxtiller
