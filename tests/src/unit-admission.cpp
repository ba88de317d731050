#include "router_driver.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <map>
#include <string>

using namespace flaxtiller;

namespace
{

router_options with_admission()
{
    router_options options;
    options.load.limits_admission = true;
    return options;
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

TEST_CASE("a request that would be too late is refused before anything is sent", "[admission]")
{
    router_options options = with_admission();
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

TEST_CASE("the margin of estimates follows how often they are too optimistic", "[admission]")
{
    completion_margin margin;

    SECTION("many misses raise it up to a limit, as it must not close the entry")
    {
        for (int i = 0; i < 1000; ++i)
        {
            margin.observe(false);
        }
        CHECK(margin.share() == completion_margin::max_share);
    }
    SECTION("it falls again to zero while estimates hold, as it costs requests that could be served")
    {
        for (int i = 0; i < 2000; ++i)
        {
            margin.observe(true);
        }
        CHECK(margin.share() == 0.0);
    }
    SECTION("it stays where the accepted share misses")
    {
        const double before = margin.share();
        for (int i = 0; i < 1000; ++i)
        {
            margin.observe(i % 50 != 0);
        }
        CHECK(margin.share() == Approx(before).margin(0.01));
    }
}
