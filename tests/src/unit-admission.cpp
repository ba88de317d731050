#include "admission_play.hpp"
#include "router_driver.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>

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

/// The estimate of a fan-out over 100 shards of which some have to wait.
completion_estimate::result with_waits(std::size_t waiting, double wait_ms, double run_ms, double least_share)
{
    completion_estimate estimate;
    estimate.add(100 - waiting, {}, duration::from_ms(run_ms));
    estimate.add(waiting, duration::from_ms(wait_ms), duration::from_ms(run_ms));
    return estimate.completion(least_share, {});
}

/// Adds a delay observation every 20 ms, as a busy entry does, and adapts the bound.
void run_with_delay(open_request_limit& limit, processing_delay& delay, time_point& now, double late_ms,
                    double for_ms)
{
    const time_point until = now + duration::from_ms(for_ms);
    for (; now < until; now = now + duration::from_ms(20))
    {
        delay.observe(duration::from_ms(late_ms), now);
        limit.update(delay.at(now), now);
    }
}

constexpr double objective_ms = 80.0;
constexpr std::size_t max_open = 2000;

} // namespace

TEST_CASE("the completion estimate is that of the last required shard", "[admission]")
{
    using timeliness = completion_estimate::timeliness;
    const duration objective = duration::from_ms(100);
    const duration deadline = duration::from_ms(500);

    SECTION("shards that are not required are not waited for")
    {
        CHECK(with_waits(5, 400, 10, 0.95).wait == duration{});
        CHECK(with_waits(6, 400, 10, 0.95).wait == duration::from_ms(400));
        CHECK(with_waits(6, 400, 10, 0.95).time ==
              duration::from_ms(400 + 10 * completion_estimate::run_spread));
    }
    SECTION("a share that is not exact in binary requires no further shard")
    {
        CHECK(with_waits(15, 400, 10, 0.85).wait == duration{});
        CHECK(with_waits(16, 400, 10, 0.85).wait > duration{});
    }
    SECTION("times are compared with the objective and the deadline")
    {
        CHECK(completion_estimate::compare(with_waits(10, 50, 10, 0.95), objective, deadline) ==
              timeliness::on_time);
        CHECK(completion_estimate::compare(with_waits(10, 90, 10, 0.95), objective, deadline) ==
              timeliness::late);
        CHECK(completion_estimate::compare(with_waits(10, 490, 10, 0.95), objective, deadline) ==
              timeliness::too_late);
    }
    SECTION("no request is late while slots are free, however slow the servers and this process are")
    {
        completion_estimate slow;
        slow.add(10, {}, duration::from_ms(10'000));
        CHECK(completion_estimate::compare(slow.completion(0.95, duration::from_ms(250)), objective,
                                           deadline) == timeliness::on_time);
        CHECK(completion_estimate::compare(with_waits(0, 0, 60, 0.95), objective, deadline) ==
              timeliness::on_time);
        completion_estimate delayed;
        delayed.add(10, {}, duration::from_ms(60));
        CHECK(completion_estimate::compare(delayed.completion(0.95, duration::from_ms(50)), objective,
                                           deadline) == timeliness::on_time);
        CHECK(completion_estimate::compare({}, objective, deadline) == timeliness::on_time);
    }
    SECTION("a short wait does not make a route late that always takes longer than its objective")
    {
        CHECK(completion_estimate::compare(with_waits(10, 1, 90, 0.95), objective, deadline) ==
              timeliness::on_time);
        CHECK(completion_estimate::compare(with_waits(10, 1, 900, 0.95), objective, deadline) ==
              timeliness::on_time);
    }
    SECTION("the delay of this process counts where slots are waited for")
    {
        completion_estimate estimate;
        estimate.add(10, duration::from_ms(40), duration::from_ms(20));
        CHECK(completion_estimate::compare(estimate.completion(1.0, duration::from_ms(40)), objective,
                                           deadline) == timeliness::late);
    }
}

TEST_CASE("the bound on open requests follows the delay of the process", "[admission]")
{
    open_request_limit limit(max_open);
    limit.set_shortest_objective(duration::from_ms(objective_ms));
    processing_delay delay;
    time_point now(duration::from_ms(1000));
    for (int i = 0; i < 100; ++i)
    {
        limit.on_open(0, false);
    }

    SECTION("a lasting delay lowers it, but never below the floor")
    {
        run_with_delay(limit, delay, now, 40, 1000);
        CHECK(limit.bound() < 100);
        CHECK_FALSE(limit.admits(0, false));
        run_with_delay(limit, delay, now, 40, 20'000);
        CHECK(limit.bound() >= open_request_limit::min_bound);
    }
    SECTION("a process that was suspended once keeps its bound")
    {
        run_with_delay(limit, delay, now, 0, 1000);
        delay.observe(duration::from_ms(10'000), now);
        run_with_delay(limit, delay, now, 0, 2000);
        CHECK(limit.bound() == max_open);
        delay.observe(duration::from_ms(10'000), now);
        for (int i = 0; i < 20; ++i, now = now + duration::from_ms(100))
        {
            limit.update(delay.at(now), now);
        }
        CHECK(limit.bound() == max_open);
    }
    SECTION("with an idle processor it recovers within a second, also if nothing is observed any more")
    {
        run_with_delay(limit, delay, now, 250, 5000);
        REQUIRE(limit.bound() <= 100);
        const bool observed = GENERATE(true, false);
        for (int i = 0; i < 100; ++i)
        {
            limit.on_end(0, false);
        }
        if (observed)
        {
            run_with_delay(limit, delay, now, 0, 1000);
        }
        for (int i = 0; i < 50 && !observed; ++i, now = now + duration::from_ms(20))
        {
            limit.update(delay.at(now), now);
        }
        CHECK(limit.bound() >= 1000);
    }
    SECTION("without objectives, no delay is too long")
    {
        open_request_limit without(max_open);
        run_with_delay(without, delay, now, 250, 5000);
        CHECK(without.bound() == max_open);
    }
}

TEST_CASE("the bound on open requests is shared by priority", "[admission]")
{
    constexpr int urgent = 0;
    constexpr int usual = 1;
    open_request_limit limit(100);

    SECTION("less urgent requests are refused first, and late ones before these")
    {
        REQUIRE(limit.admits(urgent, false));
        REQUIRE(limit.admits(usual, false));
        for (int i = 0; i < 60; ++i)
        {
            limit.on_open(urgent, false);
        }
        CHECK_FALSE(limit.admits(urgent, true));
        CHECK(limit.admits(usual, false));
        for (int i = 0; i < 30; ++i)
        {
            limit.on_open(urgent, false);
        }
        CHECK_FALSE(limit.admits(usual, false));
        CHECK(limit.admits(urgent, false));
    }
    SECTION("no priority is starved by a more urgent one")
    {
        // Without a guaranteed share, the urgent requests would fill the bound for ever.
        std::map<int, int> admitted;
        time_point now(duration::from_ms(1000));
        for (int i = 0; i < 100; ++i)
        {
            limit.on_open(urgent, false);
        }
        for (int i = 0; i < 1000; ++i, now = now + duration::from_ms(10))
        {
            limit.update({}, now);
            const bool has_room = i % 2 == 0;
            if (has_room)
            {
                limit.on_end(urgent, false);
            }
            if (limit.admits(urgent, false) && has_room)
            {
                limit.on_open(urgent, false);
                ++admitted[urgent];
            }
            admitted[usual] += limit.admits(usual, false) ? 1 : 0;
        }
        const double mean_share = (admitted[urgent] + admitted[usual]) / 2000.0;
        CHECK(admitted[usual] / 1000.0 >= 0.25 * mean_share);
        CHECK(admitted[usual] < admitted[urgent]);
    }
    SECTION("delegated requests do not lock out the own callers, and are not decided on")
    {
        for (int i = 0; i < 200; ++i)
        {
            limit.on_open(urgent, true);
        }
        CHECK(limit.admits(urgent, false));
        limit.on_open(urgent, false);
        CHECK_FALSE(limit.admits(urgent, false));
    }
    SECTION("a priority without requests is forgotten")
    {
        REQUIRE(limit.admits(usual, false));
        limit.update({}, time_point(duration::from_ms(1000)));
        limit.update({}, time_point(duration::from_ms(61'000)));
        CHECK(limit.priorities().empty());
    }
}

TEST_CASE("refused callers return at successive times", "[admission]")
{
    const duration shortest = duration::from_ms(100);
    const duration longest = duration::from_ms(5000);
    return_schedule returns(shortest);
    time_point now(duration::from_ms(10'000));
    for (int i = 0; i < 300; ++i, now = now + duration::from_ms(10))
    {
        returns.note_answers(1, now);
    }

    SECTION("at a part of the answer rate, and not before the shortest time")
    {
        CHECK(returns.rate_per_s(now) == Approx(100.0).epsilon(0.1));
        const duration first = returns.next_wait(0, {}, longest, now);
        CHECK(first == shortest);
        const double spacing_ms = (returns.next_wait(0, {}, longest, now) - first).ms();
        CHECK(spacing_ms == Approx(10.0 / return_schedule::return_share).epsilon(0.1));
    }
    SECTION("less urgent ones later, but within the time that they wait, and not all at its end")
    {
        CHECK(returns.next_wait(2, {}, longest, now) > shortest);
        std::map<duration, int> callers;
        for (int i = 0; i < 200; ++i)
        {
            const duration wait = returns.next_wait(2, {}, longest, now);
            CHECK(wait <= longest);
            ++callers[wait];
        }
        CHECK(callers.size() > 190);
    }
    SECTION("a caller for which there is no capacity in time is told so, and delays no other one")
    {
        const duration short_wait = duration::from_ms(400);
        for (int i = 0; i < 50; ++i)
        {
            (void)returns.next_wait(0, {}, short_wait, now);
        }
        const duration first_beyond = returns.next_wait(0, {}, short_wait, now);
        CHECK(first_beyond > short_wait);
        CHECK(returns.next_wait(0, {}, short_wait, now) > first_beyond);
        CHECK(returns.next_wait(0, {}, longest, now) < first_beyond);
    }
    SECTION("a lasting overload does not lead to times without bound")
    {
        for (int i = 0; i < 100'000; ++i)
        {
            CHECK(returns.next_wait(0, {}, shortest, now) < return_schedule::max_spread + longest);
        }
    }
    SECTION("a service that returns later does not delay the callers of others")
    {
        CHECK(returns.next_wait(0, duration::from_ms(3000), longest, now) >= duration::from_ms(3000));
        CHECK(returns.next_wait(0, {}, longest, now) < duration::from_ms(200));
    }
}

TEST_CASE("a request that would be too late is refused before anything is sent", "[admission]")
{
    router_options options = with_admission(true, false);
    const bool ordered = GENERATE(true, false);
    options.load.orders_by_priority = ordered;
    test::router_driver driver(options);
    test::router_driver unlimited{router_options{}};
    route all = test::fan_out_over(4, 0.95);
    std::map<std::string, route> routes{{"all", all}};
    std::size_t refused = 0;
    for (test::router_driver* tested : {&driver, &unlimited})
    {
        tested->set_view(routes, 4);
        // The service's latency becomes known: 40 ms of the objective of 100 ms.
        for (int i = 0; i < 20; ++i)
        {
            tested->submit("/all/");
            tested->advance(40);
            for (int shard = 0; shard < 4; ++shard)
            {
                tested->end_attempt("s" + std::to_string(shard), test::attempt_status::answered);
            }
        }
    }

    SECTION("with free slots, nothing is refused")
    {
        driver.submit("/all/");
        CHECK(driver.started.size() == 4);
    }
    SECTION("beyond the time that the objective or the deadline allows")
    {
        for (int i = 0; i < 300; ++i)
        {
            const std::size_t started = driver.started.size();
            const request_number number = driver.submit("/all/");
            const auto answered = driver.answers.find(number);
            if (answered == driver.answers.end())
            {
                continue;
            }
            ++refused;
            const routed_outcome& outcome = answered->second;
            CHECK(driver.started.size() == started);
            CHECK(outcome.end == routed_end::refused);
            CHECK(outcome.reason == missing_reason::overloaded);
            CHECK(outcome.attempts == 0);
            REQUIRE(outcome.admission);
            const admission_decision& made = *outcome.admission;
            // Late work is only admitted where the queues order it after the rest.
            CHECK(made.decided == (ordered ? admission_decision::verdict::past_deadline
                                           : admission_decision::verdict::past_objective));
            CHECK(made.expected.time > (ordered ? made.deadline : made.objective * (1.0 - made.margin)));
        }
        CHECK(refused > 10);
    }
    SECTION("a request that another entry delegated is not refused")
    {
        constexpr int submitted = 20;
        const std::size_t answered_before = driver.answers.size();
        for (int i = 0; i < submitted; ++i)
        {
            driver.submit("/all/");
        }
        CHECK((driver.answers.size() > answered_before) != ordered);
        const request_number number = driver.submit_delegated("/all/", true);
        CHECK(driver.answers.count(number) == 0);
    }
    SECTION("with the switch off, nothing is refused at arrival, and no timer measures the delay")
    {
        for (int i = 0; i < 20; ++i)
        {
            const request_number number = unlimited.submit("/all/");
            CHECK(unlimited.answers.count(number) == 0);
        }
        CHECK(unlimited.next_time() > unlimited.now + duration::from_ms(20));
    }
}

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
