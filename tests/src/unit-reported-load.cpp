// Tests of the expected wait that load reports yield, and of its use in the scheduler.

#include "scheduler_driver.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::make_service;
using flaxtiller::test::scheduler_driver;

namespace
{

constexpr duration work = duration::from_ms(10);

scheduler_options reading_options(bool reads_server_load = true)
{
    scheduler_options options;
    options.direct = true;
    options.cancel_losers = false;
    options.reads_server_load = reads_server_load;
    return options;
}

void answer_with(scheduler_driver& driver, attempt_id attempt, const load_report& report)
{
    attempt_result result;
    result.status = attempt_status::answered;
    result.load = report;
    driver.finish_attempt(attempt, result);
}

/// Lets 0a report a long queue, and 0b none.
void report_queue_at_first(scheduler_driver& driver)
{
    driver.record_latencies(40);
    while (driver.running_on("0a") == 0 || driver.running_on("0b") == 0)
    {
        driver.submit();
    }
    driver.advance_by(5);
    while (!driver.running.empty())
    {
        const start_attempt begun = driver.running.begin()->second;
        const bool loaded = begun.server.str() == "0a";
        answer_with(driver, begun.attempt, loaded ? load_report{2, 8, 2, 1.0} : load_report{0, 0, 2, 1.0});
    }
}

} // namespace

TEST_CASE("the expected wait by a load report", "[load][reports]")
{
    const time_point now{duration::from_ms(5000)};
    reported_load load;
    CHECK(load.predicted_wait(3, work, now) == duration{});
    load.add_report({2, 2, 2, 1.0}, 0, now);

    // Guards against attempts of one moment that all follow the same report.
    SECTION("grows with the own attempts started since")
    {
        const duration idle = load.predicted_wait(0, work, now);
        CHECK(idle > duration{});
        CHECK(load.predicted_wait(1, work, now) > idle);
    }
    // Guards against own attempts that count twice: in the report and in the count of own attempts.
    SECTION("does not count the own attempts in the report twice")
    {
        reported_load own;
        own.add_report({2, 2, 2, 1.0}, 4, now);
        CHECK(own.predicted_wait(0, work, now) == duration{});
        CHECK(own.predicted_wait(4, work, now) == load.predicted_wait(0, work, now));
    }
    SECTION("includes the reported slowdown")
    {
        reported_load slow;
        slow.add_report({0, 0, 2, 2.5}, 0, now);
        CHECK(slow.predicted_wait(0, work, now).ms() == Approx(15.0));
    }
    // Guards against a frozen report that keeps its weight.
    SECTION("loses its weight with age")
    {
        const duration half = reported_load::max_age * 0.5;
        CHECK(load.predicted_wait(0, work, now + half).ms() ==
              Approx(load.predicted_wait(0, work, now).ms() / 2));
        CHECK(load.age(now + half) == half);
        CHECK(load.predicted_wait(9, work, now + reported_load::max_age) == duration{});
        CHECK_FALSE(load.age(now + reported_load::max_age));
    }
}

TEST_CASE("load reports are trusted as far as latencies confirm them", "[load][reports]")
{
    time_point now{duration::from_ms(5000)};
    reported_load load;
    const double sign = GENERATE(1.0, 0.0, -1.0);
    for (int i = 0; i < 200; ++i)
    {
        const bool long_queue = i % 3 == 0;
        now = now + duration::from_ms(20);
        load.add_report({2, long_queue ? 4 : 0, 2, 1.0}, 0, now);
        const duration predicted = load.predicted_wait(0, work, now);
        load.add_latency(predicted, work * 2.0 + predicted * (sign * 0.5), work);
    }
    CAPTURE(sign, load.trust());
    // Guards against reports that are believed although the observed latencies contradict them.
    CHECK((load.trust() > 0.0) == (sign > 0.0));
    CHECK((load.expected_wait(4, work, now) > duration{}) == (sign > 0.0));
    // Guards against trust in a backend server that is kept while nobody uses it.
    now = now + reported_load::max_silence * 2.0;
    load.add_report({2, 4, 2, 1.0}, 0, now);
    CHECK(load.trust() == Approx(0.5));
}

TEST_CASE("a scheduler whose first backend server reported a long queue", "[load][reports]")
{
    const bool reads = GENERATE(true, false);
    scheduler_driver driver(make_service(1, 2), reading_options(reads));
    report_queue_at_first(driver);
    const auto chosen = [&]
    {
        return driver.attempt_of(driver.submit()).server.str();
    };

    // Guards against reports that are parsed and then ignored, and against an effect while the switch is off.
    SECTION("chooses the other one")
    {
        CHECK(chosen() == (reads ? "0b" : "0a"));
        CHECK(chosen() == "0b");
    }
    SECTION("chooses as without reports once the report is old")
    {
        driver.advance_by(reported_load::max_age.ms());
        CHECK(chosen() == "0a");
    }
    // Guards against an estimate of the wait that ignores the work of other senders.
    SECTION("expects a wait only where all backend servers report a queue")
    {
        CHECK(driver.scheduler.estimated_wait(0, driver.now) == duration{});
        while (driver.running_on("0b") == 0)
        {
            driver.submit();
        }
        answer_with(driver, driver.running.rbegin()->first, {2, 8, 2, 1.0});
        CHECK((driver.scheduler.estimated_wait(0, driver.now) > duration{}) == reads);
    }
    SECTION("shows how old the reports are, and none after an idle minute")
    {
        driver.advance_by(100);
        CHECK(driver.scheduler.ages_of_reports(driver.now).with == (reads ? 2U : 0U));
        CHECK(driver.scheduler.ages_of_reports(driver.now).oldest.ms() == (reads ? 100.0 : 0.0));
        driver.advance_by(60000);
        CHECK(driver.scheduler.ages_of_reports(driver.now).without == 2);
    }
}
