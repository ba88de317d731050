#include <flaxtiller/teams/retry_schedule.hpp>

#include <flaxtiller/core/spread_fraction.hpp>

#include <algorithm>

namespace flaxtiller
{

duration retry_schedule::assign(const team_name& team, const rate_limit& limit, duration earliest,
                                time_point now)
{
    constexpr double ms_per_s = 1000.0;
    assigned& item = m_teams[team];
    const duration interval = duration::from_ms(ms_per_s / std::max(limit.requests_per_s, 1.0 / ms_per_s));
    const time_point at = std::max(now + earliest, item.next);
    if (at - now <= max_retry_after)
    {
        item.next = at + interval;
        item.beyond = 0;
        return at - now;
    }
    // All times up to the longest are assigned. The rest is spread over them, since callers with the
    // same retry time would return together.
    return earliest + std::max(max_retry_after - earliest, interval) * spread_fraction(++item.beyond);
}

void retry_schedule::discard_passed(time_point now)
{
    std::erase_if(m_teams,
                  [&](const auto& item)
                  {
                      return item.second.next <= now;
                  });
}

} // namespace flaxtiller
