// Tests of the scheduler where several instances send to the same backend servers: which attempts an instance
// may repeat, and which backend servers it may use.

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
    options.avoid_stalled = true;
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
    subquery request;
    request.id = driver.next++;
    request.deadline = driver.now + duration::from_ms(1000);
    request.designated = backend_server_name(designated);
    request.again = again;
    return driver.submit(request);
}

/// @return the backend servers to which a subquery is sent if each of its attempts fails
std::set<std::string> servers_used(scheduler_driver& driver, subquery_id id)
{
    std::set<std::string> used;
    for (int i = 0; i < 200 && driver.finished.count(id) == 0; ++i)
    {
        driver.advance_by(5);
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

    SECTION("the first instance uses the designated one and at most one other, even after many failures")
    {
        for (const char* designated : {"0a", "0b", "0c"})
        {
            const auto used = servers_used(driver, submit(driver, designated));
            CHECK(used.size() <= 2);
            CHECK((used.size() < 2 || used.count(designated) == 1));
        }
    }
    SECTION("the instance that runs the subquery again uses only the designated one")
    {
        const auto used = servers_used(driver, submit(driver, "0b", true));
        CHECK(used == std::set<std::string>{"0b"});
    }
}

TEST_CASE("a subquery that another instance may have run spends from the retry budget", "[scheduler]")
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

TEST_CASE("a token budget can also be replenished with time", "[scheduler]")
{
    token_budget budget(0.0, 4.0);
    time_point now{duration::from_ms(1000)};
    budget.advance(now);
    budget.limit(2.0, 0.001);
    SECTION("in any interval, at most the stored tokens and those added in it are spent")
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
    SECTION("the stored tokens do not exceed the limit")
    {
        budget.advance(now + duration::from_ms(60000));
        CHECK(budget.tokens() == Approx(2.0));
    }
}

TEST_CASE("a backend server all of whose attempts are overdue is chosen last", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.extra_load_share = 0.0;
    scheduler_driver driver(make_service(1, 2), options);
    driver.record_latencies(122);
    driver.record_latencies(4, 150);
    driver.record_latencies(2);
    driver.scheduler.limit_budget(0.0);
    const subquery_id first = driver.submit();
    const std::string stalled = driver.attempt_of(first).server.str();
    driver.advance_by(60);
    for (int i = 0; i < 2; ++i)
    {
        CHECK(driver.attempt_of(driver.submit()).server.str() != stalled);
    }
    SECTION("until one of its attempts ends")
    {
        driver.answer(driver.attempt_of(first).attempt);
        CHECK(driver.running_on(stalled) == 0);
        CHECK(driver.attempt_of(driver.submit()).server.str() == stalled);
    }
}

TEST_CASE("a backend server with a high failure rate", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.failure_half_life = duration::from_ms(2000);
    scheduler_driver driver(make_service(1, 2), options);
    driver.record_latencies(40);
    // The backend server 0a sheds each first attempt, faster than 0b answers.
    const auto run_one = [&]
    {
        const subquery_id id = driver.submit();
        const auto begun = driver.attempt_of(id);
        const bool refuses = begun.server.str() == "0a";
        driver.advance_by(refuses ? 1 : 5);
        refuses ? driver.fail(begun.attempt, attempt_status::shed) : driver.answer(begun.attempt);
        driver.advance_by(20);
        while (!driver.running.empty())
        {
            driver.answer(driver.running.begin()->first);
        }
        return begun.server.str();
    };
    for (int i = 0; i < 20; ++i)
    {
        run_one();
    }

    SECTION("gets no first attempts while the other one has a free slot and no more attempts")
    {
        for (int i = 0; i < 5; ++i)
        {
            CHECK(run_one() == "0b");
        }
    }
    SECTION("gets an attempt once the other one has more attempts")
    {
        const subquery_id first = driver.submit();
        const subquery_id second = driver.submit();
        CHECK(driver.attempt_of(first).server.str() == "0b");
        CHECK(driver.attempt_of(second).server.str() == "0a");
    }
    SECTION("is treated like the other one after its failure rate has decayed")
    {
        driver.advance_by(20000);
        driver.submit();
        driver.submit();
        CHECK(driver.running_on("0a") == 1);
        CHECK(driver.running_on("0b") == 1);
    }
}

TEST_CASE("the failure rate is an average that decays with time", "[scheduler]")
{
    const duration half_life = duration::from_ms(1000);
    time_point now{duration::from_ms(5000)};
    failure_rate rate;
    CHECK(rate.at(now, half_life) == 0.0);
    for (int i = 0; i < 100; ++i)
    {
        rate.add_outcome(true, now, half_life);
    }
    CHECK(rate.at(now, half_life) == Approx(1.0).margin(0.001));
    CHECK(rate.at(now + half_life, half_life) == Approx(0.5).margin(0.001));
    rate.add_outcome(false, now + half_life, half_life);
    CHECK(rate.at(now + half_life, half_life) < 0.5);
}

TEST_CASE("an attempt that fails to connect", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.charge_refusals = true;
    scheduler_driver driver(make_service(1, 3), options);
    driver.scheduler.limit_budget(0.0);
    subquery request;
    request.id = driver.next++;
    request.deadline = driver.now + duration::from_ms(1000);
    request.most_attempts = 2;

    SECTION("is retried on another backend server without a retry budget, and is not counted as an attempt")
    {
        driver.submit(request);
        std::set<std::string> used;
        for (int i = 0; i < 2; ++i)
        {
            used.insert(driver.attempt_of(request.id).server.str());
            driver.fail(driver.attempt_of(request.id).attempt, attempt_status::unreachable);
        }
        used.insert(driver.attempt_of(request.id).server.str());
        CHECK(used.size() == 3);
        driver.answer(driver.attempt_of(request.id).attempt);
        CHECK(driver.finished.at(request.id).outcome == outcome::run);
        CHECK(driver.scheduler.attempts_started() == 1);
    }
    SECTION("does not count toward the two backend servers that two instances may use together")
    {
        request.designated = backend_server_name("0a");
        driver.submit(request);
        std::set<std::string> unreachable;
        while (unreachable.size() < 2)
        {
            const auto begun = driver.attempt_of(request.id);
            unreachable.insert(begun.server.str());
            driver.fail(begun.attempt, attempt_status::unreachable);
        }
        CHECK(unreachable.count(driver.attempt_of(request.id).server.str()) == 0);
    }
    SECTION("differs from a refused attempt, whose retry needs a retry budget")
    {
        driver.submit(request);
        driver.fail(driver.attempt_of(request.id).attempt, attempt_status::shed);
        CHECK(driver.finished.at(request.id).outcome == outcome::not_run);
    }
    SECTION("is not retried once all backend servers are ejected")
    {
        driver.submit(request);
        for (int i = 0; i < 100 && driver.finished.count(request.id) == 0; ++i)
        {
            while (!driver.running.empty())
            {
                driver.fail(driver.running.begin()->first, attempt_status::unreachable);
            }
            driver.advance_by(10);
        }
        CHECK(driver.finished.at(request.id).reason == missing_reason::no_backend_server);
    }
}

TEST_CASE("an overdue attempt where no other backend server has a free slot", "[scheduler]")
{
    scheduler_options options = shared_options();
    options.cancel_losers = GENERATE(false, true);
    scheduler_driver driver(make_service(1, 1), options);
    driver.record_latencies(122);
    driver.record_latencies(4, 150);
    driver.record_latencies(2);
    driver.scheduler.limit_budget(20.0, 1.0);
    const subquery_id id = driver.submit();
    const attempt_id first = driver.attempt_of(id).attempt;
    driver.advance_by(100);
    // The attempt is cancelled and replaced only if a cancel does not cost a connection.
    CHECK(driver.cancelled.empty() != options.cancel_losers);
    driver.answer(first);
    CHECK(driver.finished.at(id).outcome == outcome::run);
}

TEST_CASE("with the retry budget spent, a failing backend server gets no attempts while another one answers",
          "[scheduler]")
{
    scheduler_options options = shared_options();
    options.failure_half_life = duration::from_ms(2000);
    options.charge_refusals = true;
    scheduler_driver driver(make_service(1, 2), options);
    driver.record_latencies(40);
    driver.scheduler.limit_budget(100.0, 10.0);
    for (int i = 0; i < 20; ++i)
    {
        const subquery_id id = driver.submit();
        driver.advance_by(1);
        if (driver.attempt_of(id).server.str() == "0a")
        {
            driver.fail(driver.attempt_of(id).attempt, attempt_status::shed);
        }
        driver.advance_by(4);
        driver.answer(driver.attempt_of(id).attempt);
    }
    const bool spent = GENERATE(false, true);
    driver.scheduler.limit_budget(spent ? 0.0 : 100.0);
    for (int i = 0; i < 3; ++i)
    {
        driver.submit();
    }
    // With the budget spent, the third attempt is pipelined to 0b, which has two slots, rather than lost on
    // 0a.
    CHECK(driver.running_on("0b") == (spent ? 3 : 2));
    CHECK(driver.running_on("0a") == (spent ? 0 : 1));
    while (!driver.running.empty())
    {
        driver.answer(driver.running.begin()->first);
    }
    CHECK(driver.scheduler.queued() == 0);
}

TEST_CASE("a small subquery is overdue in proportion to its size", "[scheduler]")
{
    scheduler_options options = shared_options();
    scheduler_driver driver(make_service(1, 2), options);
    constexpr double small = 1.0 / 3.0;
    const auto submit_sized = [&](double size)
    {
        subquery request;
        request.id = driver.next++;
        request.deadline = driver.now + duration::from_ms(5000);
        request.size = size;
        return driver.submit(request);
    };
    for (int i = 0; i < 300; ++i)
    {
        const double size = i % 2 == 0 ? 1.0 : small;
        submit_sized(size);
        const double slowdown = i % 50 == 0 ? 10.0 : 1.0;
        driver.advance_by(30.0 * size * slowdown);
        while (!driver.running.empty())
        {
            driver.answer(driver.running.begin()->first);
        }
    }
    driver.scheduler.limit_budget(20.0, 1.0);
    const auto overdue_after_ms = [&](double size)
    {
        const subquery_id id = submit_sized(size);
        const time_point begun = driver.now;
        driver.advance_until(
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
    const double usual_ms = overdue_after_ms(1.0);
    CHECK(usual_ms > 30.0);
    CHECK(overdue_after_ms(small) == Approx(usual_ms * small).margin(3.0));
}
