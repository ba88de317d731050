#include "router_driver.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace flaxtiller;

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

TEST_CASE("each caller that is refused gets a time of its own", "[admission]")
{
    // Callers with the same time would return together, and be refused together again.
    const bool spreads = GENERATE(true, false);
    router_options options;
    options.load.spreads_returns = spreads;
    test::router_driver driver(options);
    const std::string target = GENERATE("/all/", "/one/");
    driver.set_view({{"all", test::fan_out_over(4, 0.5)}, {"one", test::single(true)}}, 0);
    std::set<duration> times;
    for (int i = 0; i < 5; ++i)
    {
        const request_number number = driver.submit(target, 10'000);
        REQUIRE(driver.answers.at(number).end == routed_end::refused);
        times.insert(driver.answers.at(number).retry_after);
    }
    CHECK(times.size() == (spreads ? 5 : 1));
    CHECK(*times.begin() >= options.min_retry_after);
}
