// Plays of an overloaded entry in virtual time.

#include "admission_play.hpp"

#include <catch2/catch.hpp>

#include <cmath>

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
    constexpr std::size_t slow_from = 2;
    constexpr std::size_t slow_until = 5;
    const std::vector<double> steps{0.5, 1.0, 1.5, 2.0, 3.0, 1.0, 0.5};
    const auto run = [&](admission_play& play, double speed)
    {
        double at_ms = 0.0;
        for (const double step : steps)
        {
            play.add_arrivals(at_ms, at_ms + step_ms, step * admission_play::capacity_per_s);
            at_ms += step_ms;
        }
        play.speed[time_point(duration::from_ms(slow_from * step_ms))] = speed;
        play.speed[time_point(duration::from_ms(slow_until * step_ms))] = 1.0;
        play.run_until(at_ms + step_ms);
        std::vector<step_result> results;
        for (std::size_t i = 0; i < steps.size(); ++i)
        {
            const double from_ms = static_cast<double>(i) * step_ms;
            results.push_back(result_of(play, from_ms, from_ms + step_ms));
            UNSCOPED_INFO("step " << steps[i] << ": " << results[i].arrived << " arrived, "
                                  << results[i].on_time << " on time, " << results[i].late << " late, "
                                  << results[i].refused << " refused");
        }
        return results;
    };
    // The last step begins with the queues of the step before, which are at capacity.
    const auto refused_after_overload = [&](const admission_play& play)
    {
        constexpr double drained_after_ms = 500.0;
        const double until_ms = step_ms * static_cast<double>(steps.size());
        return result_of(play, until_ms - step_ms + drained_after_ms, until_ms).refused;
    };
    constexpr double capacity_per_step = admission_play::capacity_per_s * step_ms / 1000.0;
    const std::uint64_t seed = GENERATE(1, 2, 3);

    SECTION("the processor is cut to a third, which is just enough")
    {
        admission_play play(with_admission(true, false), seed);
        const std::vector<step_result> results = run(play, 1.0 / 3.0);
        std::size_t on_time = 0;
        std::size_t refused = 0;
        std::size_t refused_quickly = 0;
        for (const step_result& step : results)
        {
            on_time += step.on_time;
            refused += step.refused;
            refused_quickly += step.refused_quickly;
        }
        CHECK(static_cast<double>(results[3].on_time) >= 0.9 * capacity_per_step);
        CHECK(static_cast<double>(results[4].on_time) >= 0.9 * capacity_per_step);
        CHECK(static_cast<double>(refused_quickly) >= 0.99 * static_cast<double>(refused));
        // A request that was refused although a better choice serves it is a loss.
        const auto possible = static_cast<double>(on_time_with_knowledge(play));
        CHECK(possible - static_cast<double>(on_time) <= 0.05 * static_cast<double>(refused));
        CHECK(results.front().refused == 0);
        CHECK(refused_after_overload(play) == 0);
    }
    SECTION("the processor is cut to an eighth, which is enough for less than half of the capacity")
    {
        // Without the bound on open requests, events wait for so long that nothing is answered in time.
        admission_play play(with_admission(true, false), seed);
        const std::vector<step_result> results = run(play, 1.0 / 8.0);
        CHECK(static_cast<double>(results[3].on_time) >= 0.2 * capacity_per_step);
        CHECK(static_cast<double>(results[4].on_time) >= 0.2 * capacity_per_step);
        CHECK(static_cast<double>(results[5].on_time) >= 0.7 * capacity_per_step);
        CHECK(refused_after_overload(play) == 0);
        CHECK(play.tested().open_limit().bound() > 100);
    }
}

TEST_CASE("callers that are refused together are served when they return", "[admission]")
{
    constexpr double burst_at_ms = 4000.0;
    constexpr double burst_ms = 100.0;
    constexpr std::size_t burst = 540;
    admission_play play(with_admission(true, true), GENERATE(1, 2, 3));
    play.callers_return = true;
    play.patience = duration::from_ms(60'000);
    // The entry was busy for a while, so it knows its rate.
    play.add_arrivals(0, 2000, 0.9 * admission_play::capacity_per_s);
    play.add_arrivals(2000, 20'000, 0.3 * admission_play::capacity_per_s);
    for (std::size_t i = 0; i < burst; ++i)
    {
        play.add_arrival(
            time_point(duration::from_ms(burst_at_ms + burst_ms * static_cast<double>(i) / burst)), false);
    }
    play.run_until(30'000);

    std::vector<double> returned_ms;
    std::size_t served = 0;
    for (const admission_play::record& item : play.records)
    {
        if (item.is_return)
        {
            returned_ms.push_back(item.arrived.since_start().ms());
            served += item.end == routed_end::merged ? 1 : 0;
        }
    }
    REQUIRE(returned_ms.size() >= 500);
    CHECK(static_cast<double>(served) >= 0.9 * static_cast<double>(returned_ms.size()));
    std::sort(returned_ms.begin(), returned_ms.end());
    constexpr double window_ms = 100.0;
    const double mean =
        static_cast<double>(returned_ms.size()) * window_ms / (returned_ms.back() - returned_ms.front());
    std::size_t most = 0;
    for (std::size_t from = 0, until = 0; from < returned_ms.size(); ++from)
    {
        while (until < returned_ms.size() && returned_ms[until] < returned_ms[from] + window_ms)
        {
            ++until;
        }
        most = std::max(most, until - from);
    }
    INFO("returned " << returned_ms.size() << ", served " << served << ", mean " << mean << ", most "
                     << most);
    CHECK(static_cast<double>(most) <= 1.5 * mean);
}
