#include <flaxtiller/routing/owner_delays.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace flaxtiller
{

namespace
{

/// @return a number from 0 to 1 that differs between entries and between pairs of owners
double initial_phase(const instance_name& self, const instance_name& first, const instance_name& second)
{
    const std::uint64_t hash = hash64(self.str() + '/' + first.str() + '/' + second.str());
    return static_cast<double>(hash) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

void owner_delays::report(const instance_name& owner, duration delay, time_point now)
{
    remove_expired(now);
    m_reports.insert_or_assign(owner, delay_report{owner, std::clamp(delay, duration{}, max_counted), now});
}

void owner_delays::drop(const instance_name& owner)
{
    m_reports.erase(owner);
}

void owner_delays::retain(const std::function<bool(const instance_name&)>& is_listed)
{
    std::erase_if(m_reports,
                  [&](const auto& item)
                  {
                      return !is_listed(item.first);
                  });
    std::erase_if(m_phases,
                  [&](const auto& item)
                  {
                      return !is_listed(item.first.first) || !is_listed(item.first.second);
                  });
}

duration owner_delays::delay_of(const instance_name& owner, time_point now) const
{
    const auto known = m_reports.find(owner);
    if (known == m_reports.end() || now - known->second.received_at >= max_age)
    {
        return {};
    }
    const double halvings = std::max((now - known->second.received_at).ms(), 0.0) / half_life.ms();
    return known->second.delay * std::exp2(-halvings);
}

double owner_delays::second_share(duration first_delay, duration second_delay, duration objective)
{
    const duration difference = first_delay - second_delay;
    if (difference < min_difference)
    {
        return 0.0;
    }
    const duration full = objective > duration{} ? objective * full_shift_share : default_full_shift;
    return max_second_share * std::min(difference.ms() / std::max(full, min_difference).ms(), 1.0);
}

bool owner_delays::is_turn_of_second(const instance_name& self, const instance_name& first,
                                     const instance_name& second, double share, time_point now)
{
    if (share <= 0.0)
    {
        return false;
    }
    const auto [known, is_new] = m_phases.try_emplace({first, second});
    phase& current = known->second;
    if (is_new)
    {
        current.sum = initial_phase(self, first, second);
    }
    current.used_at = now;
    current.sum += share;
    if (current.sum < 1.0)
    {
        return false;
    }
    current.sum -= 1.0;
    return true;
}

std::vector<delay_report> owner_delays::longest(std::size_t count, time_point now) const
{
    std::vector<delay_report> found;
    for (const auto& [owner, stated] : m_reports)
    {
        if (now - stated.received_at < max_age)
        {
            found.push_back({owner, delay_of(owner, now), stated.received_at});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const delay_report& a, const delay_report& b)
                     {
                         return a.delay > b.delay;
                     });
    found.resize(std::min(found.size(), count));
    return found;
}

void owner_delays::remove_expired(time_point now)
{
    if (now - m_cleaned_at < max_age)
    {
        return;
    }
    m_cleaned_at = now;
    std::erase_if(m_reports,
                  [&](const auto& item)
                  {
                      return now - item.second.received_at >= max_age;
                  });
    std::erase_if(m_phases,
                  [&](const auto& item)
                  {
                      return now - item.second.used_at >= max_age;
                  });
}

} // namespace flaxtiller
