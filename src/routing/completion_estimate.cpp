#include <flaxtiller/routing/completion_estimate.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flaxtiller
{

namespace
{

using timed_shards = std::pair<duration, std::size_t>;

/// @param times times with the number of shards that each applies to
/// @return the shortest time in which @a needed shards are ready
duration time_until_ready(std::vector<timed_shards> times, std::size_t needed)
{
    std::sort(times.begin(), times.end());
    std::size_t ready = 0;
    for (const auto& [time, shards] : times)
    {
        ready += shards;
        if (ready >= needed)
        {
            return time;
        }
    }
    return {};
}

bool is_missed(const completion_estimate::result& expected, duration limit)
{
    const bool is_feasible_without_wait = expected.run <= limit;
    return expected.time > limit && (is_feasible_without_wait || expected.wait > limit);
}

} // namespace

void completion_estimate::add(std::size_t shards, duration wait, duration median_run)
{
    m_items.push_back({shards, std::max(wait, duration{}), std::max(median_run, duration{}) * run_spread});
    m_shards += shards;
}

completion_estimate::result completion_estimate::completion(double least_share, duration own_delay) const
{
    // Shares such as 0.85 are not exact in binary, and must not require a further shard.
    constexpr double rounding = 1e-6;
    const auto needed =
        static_cast<std::size_t>(std::ceil(least_share * static_cast<double>(m_shards) - rounding));
    std::vector<timed_shards> waits;
    std::vector<timed_shards> runs;
    std::vector<timed_shards> sums;
    for (const shard_times& item : m_items)
    {
        waits.emplace_back(item.wait, item.shards);
        runs.emplace_back(item.run, item.shards);
        sums.emplace_back(item.wait + item.run, item.shards);
    }
    const std::size_t required = std::max<std::size_t>(needed, 1);
    result expected;
    expected.wait = time_until_ready(std::move(waits), required);
    expected.run = time_until_ready(std::move(runs), required);
    expected.time = time_until_ready(std::move(sums), required) + own_delay;
    return expected;
}

completion_estimate::timeliness completion_estimate::compare(const result& expected, duration objective,
                                                             duration deadline)
{
    if (expected.wait <= duration{})
    {
        return timeliness::on_time;
    }
    if (is_missed(expected, deadline))
    {
        return timeliness::too_late;
    }
    return is_missed(expected, objective) ? timeliness::late : timeliness::on_time;
}

} // namespace flaxtiller
