#include "admission_play.hpp"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace flaxtiller;
using test::admission_play;

namespace
{

router_options with_admission(bool limits, bool spreads)
{
    router_options options;
    options.load.limits_admission = limits;
    options.load.spreads_returns = spreads;
    return options;
}

/// @return the requests that a choice with knowledge of all work serves within the objective: each request
/// that is on time after the earlier ones, and no other one
std::size_t on_time_with_knowledge(const admission_play& play)
{
    using free_slots = std::array<double, admission_play::replicas * admission_play::slots>;
    std::vector<free_slots> free_at_ms(admission_play::shards, free_slots{});
    const auto required =
        static_cast<std::size_t>(std::ceil(play.fan_out.least_share * admission_play::shards));
    std::size_t on_time = 0;
    for (request_number number = 0; number < play.records.size(); ++number)
    {
        const double arrived_ms = play.records[number].arrived.since_start().ms();
        std::vector<free_slots> next = free_at_ms;
        std::vector<double> ends_ms;
        for (std::size_t shard = 0; shard < next.size(); ++shard)
        {
            double& slot = *std::min_element(next[shard].begin(), next[shard].end());
            slot = std::max(slot, arrived_ms) + play.work_ms(number, shard);
            ends_ms.push_back(slot);
        }
        std::nth_element(ends_ms.begin(), ends_ms.begin() + static_cast<std::ptrdiff_t>(required - 1),
                         ends_ms.end());
        if (ends_ms[required - 1] - arrived_ms <= play.fan_out.objective.ms())
        {
            ++on_time;
            free_at_ms = std::move(next);
        }
    }
    return on_time;
}

struct step_result
{
    std::size_t arrived = 0;
    std::size_t on_time = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t refused_quickly = 0;
};

step_result result_of(const admission_play& play, double from_ms, double until_ms)
{
    constexpr duration quick = duration::from_ms(20);
    step_result result;
    for (const admission_play::record& item : play.records)
    {
        const double at_ms = item.arrived.since_start().ms();
        if (at_ms < from_ms || at_ms >= until_ms)
        {
            continue;
        }
        const bool on_time = play.is_on_time(item);
        const bool refused = item.end == routed_end::refused;
        ++result.arrived;
        result.on_time += on_time ? 1 : 0;
        result.late += item.end == routed_end::merged && !on_time ? 1 : 0;
        result.refused += refused ? 1 : 0;
        result.refused_quickly += refused && item.ended - item.arrived <= quick ? 1 : 0;
    }
    return result;
}

} // namespace

TEST_CASE("an overloaded entry answers within the objective at nearly its capacity", "[admission]")
{
    constexpr double step_ms = 2000.0;
    const std::vector<double> steps{0.5, 1.0, 1.5, 2.0, 3.0, 1.0, 0.5};
    const auto run = [&](bool limits, double slow_speed)
    {
        admission_play play(with_admission(limits, false), 7);
        double at_ms = 0.0;
        for (const double step : steps)
        {
            play.add_arrivals(at_ms, at_ms + step_ms, step * admission_play::capacity_per_s);
            at_ms += step_ms;
        }
        play.speed[time_point(duration::from_ms(2.0 * step_ms))] = slow_speed;
        play.speed[time_point(duration::from_ms(5.0 * step_ms))] = 1.0;
        play.run_until(at_ms + step_ms);
        std::size_t on_time = 0;
        std::size_t refused = 0;
        for (std::size_t i = 0; i < steps.size(); ++i)
        {
            const auto r =
                result_of(play, static_cast<double>(i) * step_ms, static_cast<double>(i + 1) * step_ms);
            std::printf("limits %d speed %.2f step %.1f arrived %zu on_time %zu (%.3f of cap) late %zu "
                        "refused %zu quick %zu\n",
                        limits, slow_speed, steps[i], r.arrived, r.on_time,
                        static_cast<double>(r.on_time) / (admission_play::capacity_per_s * step_ms / 1000.0),
                        r.late, r.refused, r.refused_quickly);
            on_time += r.on_time;
            refused += r.refused;
        }
        std::printf("on time %zu refused %zu knowing %zu\n", on_time, refused, on_time_with_knowledge(play));
    };
    run(true, 1.0 / 3.0);
    run(false, 1.0 / 3.0);
    run(true, 1.0 / 8.0);
    run(false, 1.0 / 8.0);
}
