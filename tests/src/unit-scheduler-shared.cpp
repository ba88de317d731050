// Backend servers that several instances send to: what each may repeat, and which backend servers it may use.

#include "scheduler_driver.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::make_service;
using flaxtiller::test::scheduler_driver;

namespace
{

scheduler_options shared_options()
{
    scheduler_options options;
    options.direct = true;
    options.cancel_losers = false;
    options.avoid_stuck = true;
    options.most_attempts = 4;
    return options;
}

placed_service three_replicas()
{
    placed_service placed = make_service(1, 3);
    for (backend_server& server : placed.shards[0])
    {
        server.connection_limit = 30;
    }
    return placed;
}

subquery_id submit(scheduler_driver& driver, const std::string& designated, bool again = false)
{
    subquery wanted;
    wanted.id = driver.next++;
    wanted.deadline = driver.now + duration::from_ms(1000);
    wanted.designated = backend_server_name(designated);
    wanted.again = again;
    return driver.submit(wanted);
}

/// Every backend server that a subquery was sent to while each attempt fails.
std::set<std::string> servers_used(scheduler_driver& driver, subquery_id id)
{
    std::set<std::string> used;
    for (int i = 0; i < 200 && driver.finished.count(id) == 0; ++i)
    {
        driver.pass(5);
        if (!driver.running.empty())
        {
            const auto attempt = *driver.running.begin();
            used.insert(attempt.second.server.str());
            driver.fail(attempt.first, attempt_status::cut);
        }
    }
    return used;
}

} // namespace

TEST_CASE("a subquery that two instances may run stays within two backend servers", "[scheduler]")
{
    scheduler_driver driver(three_replicas(), shared_options());

    SECTION("the first goes to the designated one and one other at most, however often it fails")
    {
        for (const char* designated : {"0a", "0b", "0c"})
        {
            const auto used = servers_used(driver, submit(driver, designated));
            CHECK(used.size() <= 2);
            CHECK((used.size() < 2 || used.count(designated) == 1));
        }
    }
    SECTION("the one that runs it again goes to the designated one only")
    {
        const auto used = servers_used(driver, submit(driver, "0b", true));
        CHECK(used == std::set<std::string>{"0b"});
    }
}

TEST_CASE("what another instance may have run is paid for like a further attempt", "[scheduler]")
{
    scheduler_driver driver(three_replicas(), shared_options());
    driver.scheduler.limit_budget(2.0);
    CHECK(driver.running_on("0a") == 0);
    submit(driver, "0a", true);
    submit(driver, "0a", true);
    const subquery_id third = submit(driver, "0a", true);
    REQUIRE(driver.finished.count(third) == 1);
    CHECK(driver.finished.at(third).outcome == outcome::not_run);
    CHECK(driver.running.size() == 2);
}

TEST_CASE("a budget that also fills with time", "[scheduler]")
{
    token_budget budget(0.0, 4.0);
    time_point now{duration::from_ms(1000)};
    budget.advance(now);
    budget.limit(2.0, 0.001);
    SECTION("no window of time sees more than what is kept and what comes in it")
    {
        int spent = 0;
        for (int ms = 0; ms < 3000; ms += 10)
        {
            now = now + duration::from_ms(10);
            budget.advance(now);
            spent += budget.spend() ? 1 : 0;
        }
        CHECK(spent >= 4);
        CHECK(spent <= 5);
    }
    SECTION("no more is kept than the limit")
    {
        budget.advance(now + duration::from_ms(60000));
        CHECK(budget.tokens() == Approx(2.0));
    }
}

TEST_CASE("a backend server all of whose attempts are late comes last", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.extra_load_share = 0.0;
    scheduler_driver driver(make_service(1, 2), options);
    driver.warm_up(122);
    driver.warm_up(4, 150);
    driver.warm_up(2);
    driver.scheduler.limit_budget(0.0);
    const subquery_id first = driver.submit();
    const std::string stuck = driver.attempt_of(first).server.str();
    driver.pass(60);
    for (int i = 0; i < 2; ++i)
    {
        CHECK(driver.attempt_of(driver.submit()).server.str() != stuck);
    }
    SECTION("until one of them ends")
    {
        driver.answer(driver.attempt_of(first).attempt);
        CHECK(driver.running_on(stuck) == 0);
        CHECK(driver.attempt_of(driver.submit()).server.str() == stuck);
    }
}

TEST_CASE("a backend server that refuses or loses attempts", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.failure_half_life = duration::from_ms(2000);
    scheduler_driver driver(make_service(1, 2), options);
    driver.warm_up(40);
    // Refuses most, and answers the rest faster than the other one does.
    const auto serve_one = [&]
    {
        const subquery_id id = driver.submit();
        const auto begun = driver.attempt_of(id);
        const bool refuses = begun.server.str() == "0a";
        driver.pass(refuses ? 1 : 5);
        refuses ? driver.fail(begun.attempt, attempt_status::shed) : driver.answer(begun.attempt);
        driver.pass(20);
        while (!driver.running.empty())
        {
            driver.answer(driver.running.begin()->first);
        }
        return begun.server.str();
    };
    for (int i = 0; i < 20; ++i)
    {
        serve_one();
    }

    SECTION("gets no first attempts while the other one has room")
    {
        for (int i = 0; i < 5; ++i)
        {
            CHECK(serve_one() == "0b");
        }
    }
    SECTION("gets what the other one has more of")
    {
        const subquery_id first = driver.submit();
        const subquery_id second = driver.submit();
        CHECK(driver.attempt_of(first).server.str() == "0b");
        CHECK(driver.attempt_of(second).server.str() == "0a");
    }
    SECTION("is tried again after a while")
    {
        driver.pass(20000);
        driver.submit();
        driver.submit();
        CHECK(driver.running_on("0a") == 1);
        CHECK(driver.running_on("0b") == 1);
    }
}

TEST_CASE("the failure rate", "[scheduler]")
{
    const duration half_life = duration::from_ms(1000);
    time_point now{duration::from_ms(5000)};
    failure_rate rate;
    CHECK(rate.at(now, half_life) == 0.0);
    for (int i = 0; i < 100; ++i)
    {
        rate.note(true, now, half_life);
    }
    CHECK(rate.at(now, half_life) == Approx(1.0).margin(0.001));
    CHECK(rate.at(now + half_life, half_life) == Approx(0.5).margin(0.001));
    rate.note(false, now + half_life, half_life);
    CHECK(rate.at(now + half_life, half_life) < 0.5);
}

TEST_CASE("an attempt that couldn't connect", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.refusals_cost = true;
    scheduler_driver driver(make_service(1, 3), options);
    driver.scheduler.limit_budget(0.0);
    subquery wanted;
    wanted.id = driver.next++;
    wanted.deadline = driver.now + duration::from_ms(1000);
    wanted.most_attempts = 2;

    SECTION("is followed by one elsewhere without any allowance, and doesn't count as an attempt")
    {
        driver.submit(wanted);
        std::set<std::string> used;
        for (int i = 0; i < 2; ++i)
        {
            used.insert(driver.attempt_of(wanted.id).server.str());
            driver.fail(driver.attempt_of(wanted.id).attempt, attempt_status::unreachable);
        }
        used.insert(driver.attempt_of(wanted.id).server.str());
        CHECK(used.size() == 3);
        driver.answer(driver.attempt_of(wanted.id).attempt);
        CHECK(driver.finished.at(wanted.id).outcome == outcome::run);
        CHECK(driver.scheduler.attempts_started() == 1);
    }
    SECTION("isn't one of the two that two instances may use together")
    {
        wanted.designated = backend_server_name("0a");
        driver.submit(wanted);
        std::set<std::string> unreachable;
        while (unreachable.size() < 2)
        {
            const auto begun = driver.attempt_of(wanted.id);
            unreachable.insert(begun.server.str());
            driver.fail(begun.attempt, attempt_status::unreachable);
        }
        CHECK(unreachable.count(driver.attempt_of(wanted.id).server.str()) == 0);
    }
    SECTION("one that was refused needs an allowance")
    {
        driver.submit(wanted);
        driver.fail(driver.attempt_of(wanted.id).attempt, attempt_status::shed);
        CHECK(driver.finished.at(wanted.id).outcome == outcome::not_run);
    }
    SECTION("ends where all were ejected")
    {
        driver.submit(wanted);
        for (int i = 0; i < 100 && driver.finished.count(wanted.id) == 0; ++i)
        {
            while (!driver.running.empty())
            {
                driver.fail(driver.running.begin()->first, attempt_status::unreachable);
            }
            driver.pass(10);
        }
        CHECK(driver.finished.at(wanted.id).reason == missing_reason::no_backend_server);
    }
}

TEST_CASE("a late attempt where no other backend server has room", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.cancel_losers = GENERATE(false, true);
    scheduler_driver driver(make_service(1, 1), options);
    driver.warm_up(122);
    driver.warm_up(4, 150);
    driver.warm_up(2);
    driver.scheduler.limit_budget(20.0, 1.0);
    const subquery_id id = driver.submit();
    const attempt_id first = driver.attempt_of(id).attempt;
    driver.pass(100);
    // Replaced only where stopping it costs no connection.
    CHECK(driver.cancelled.empty() != options.cancel_losers);
    driver.answer(first);
    CHECK(driver.finished.at(id).outcome == outcome::run);
}

TEST_CASE("with its allowance spent, a failing backend server gets nothing while the other one serves",
          "[scheduler]")
{
    scheduler_options options = shared_options();
    options.failure_half_life = duration::from_ms(2000);
    options.refusals_cost = true;
    scheduler_driver driver(make_service(1, 2), options);
    driver.warm_up(40);
    driver.scheduler.limit_budget(100.0, 10.0);
    for (int i = 0; i < 20; ++i)
    {
        const subquery_id id = driver.submit();
        driver.pass(1);
        if (driver.attempt_of(id).server.str() == "0a")
        {
            driver.fail(driver.attempt_of(id).attempt, attempt_status::shed);
        }
        driver.pass(4);
        driver.answer(driver.attempt_of(id).attempt);
    }
    const bool spent = GENERATE(false, true);
    driver.scheduler.limit_budget(spent ? 0.0 : 100.0);
    for (int i = 0; i < 3; ++i)
    {
        driver.submit();
    }
    // Of its two slots the third waits for one, at the backend server, rather than being lost.
    CHECK(driver.running_on("0b") == (spent ? 3 : 2));
    CHECK(driver.running_on("0a") == (spent ? 0 : 1));
    while (!driver.running.empty())
    {
        driver.answer(driver.running.begin()->first);
    }
    CHECK(driver.scheduler.queued() == 0);
}

TEST_CASE("small subqueries are late by their own size", "[scheduler]")
{
    scheduler_options options = shared_options();
    scheduler_driver driver(make_service(1, 2), options);
    constexpr double small = 1.0 / 3.0;
    const auto submit_sized = [&](double size)
    {
        subquery wanted;
        wanted.id = driver.next++;
        wanted.deadline = driver.now + duration::from_ms(5000);
        wanted.size = size;
        return driver.submit(wanted);
    };
    for (int i = 0; i < 300; ++i)
    {
        const double size = i % 2 == 0 ? 1.0 : small;
        submit_sized(size);
        const double straggles = i % 50 == 0 ? 10.0 : 1.0;
        driver.pass(30.0 * size * straggles);
        while (!driver.running.empty())
        {
            driver.answer(driver.running.begin()->first);
        }
    }
    driver.scheduler.limit_budget(20.0, 1.0);
    const auto late_after_ms = [&](double size)
    {
        const subquery_id id = submit_sized(size);
        const time_point begun = driver.now;
        driver.pass_until(
            [&]
            {
                return driver.running.size() == 2;
            },
            1000);
        REQUIRE(driver.running.size() == 2);
        driver.answer(driver.attempt_of(id).attempt);
        driver.answer(driver.running.begin()->first);
        return (driver.now - begun).ms();
    };
    const double usual_ms = late_after_ms(1.0);
    CHECK(usual_ms > 30.0);
    CHECK(late_after_ms(small) == Approx(usual_ms * small).margin(3.0));
}
