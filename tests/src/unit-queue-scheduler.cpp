// The queue order by priority in the scheduler and the router.

#include "entry/waiting_report.hpp"
#include "router_driver.hpp"
#include "scheduler_driver.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using namespace flaxtiller::test;

namespace
{

scheduler_options by_priority()
{
    scheduler_options options;
    options.orders_by_priority = true;
    options.max_pipelined = 0;
    return options;
}

struct queued_scheduler : scheduler_driver
{
    explicit queued_scheduler(scheduler_options options = by_priority())
        : scheduler_driver(make_service(1, 1, 1), options)
    {
        record_latencies(200, 10);
    }

    subquery_id add(int priority, const std::string& team, double objective_ms, double deadline_ms = 1000.0)
    {
        subquery request;
        request.id = next++;
        request.priority = priority;
        request.team = team_name(team);
        request.objective_at = now + duration::from_ms(objective_ms);
        request.deadline = now + duration::from_ms(deadline_ms);
        return submit(request);
    }

    /// Answers the running attempt and returns the subquery that is started instead.
    subquery_id next_started()
    {
        answer(running.begin()->first);
        return running.empty() ? 0 : running.begin()->second.subquery;
    }
};

} // namespace

TEST_CASE("the scheduler orders by priority", "[queue]")
{
    SECTION("only if the option is set")
    {
        // Guards against a changed order while the switch is off.
        scheduler_options options = by_priority();
        options.orders_by_priority = GENERATE(false, true);
        queued_scheduler driver(options);
        driver.add(0, "", 100.0);
        const subquery_id urgent = driver.add(0, "", 100.0, 900.0);
        const subquery_id soon = driver.add(3, "", 100.0, 500.0);
        CHECK(driver.next_started() == (options.orders_by_priority ? urgent : soon));
        CHECK(driver.scheduler.estimated_wait(0, 0) <= driver.scheduler.estimated_wait(0));
    }
    SECTION("work that can no longer meet its objective waits for the rest")
    {
        // Guards against a slot that is spent on an answer of little value while others still count in full.
        queued_scheduler driver;
        driver.add(0, "", 100.0);
        const subquery_id nearly_late = driver.add(0, "", 15.0);
        const subquery_id less_urgent = driver.add(5, "", 100.0);
        driver.advance_by(8);
        CHECK(driver.next_started() == less_urgent);
        CHECK(driver.next_started() == nearly_late);
    }
    SECTION("work whose deadline is too near is dropped wherever it is in the queue")
    {
        // Guards against work that is held until its deadline although it is known that it cannot be served.
        queued_scheduler driver;
        driver.add(0, "", 100.0);
        driver.add(0, "", 300.0);
        const subquery_id last = driver.add(9, "", 60.0, 60.0);
        driver.advance_by(51);
        REQUIRE(driver.finished.count(last) == 0);
        driver.next_started();
        REQUIRE(driver.finished.count(last) == 1);
        CHECK(driver.finished.at(last).reason == missing_reason::overloaded);
        CHECK(driver.finished.at(last).outcome == outcome::not_run);
    }
    SECTION("the retry time of dropped work is that of its team")
    {
        // Guards against a retry time of a small team that includes all the work of a large one.
        queued_scheduler driver;
        for (int i = 0; i < 50; ++i)
        {
            driver.add(0, "large", 5000.0, 5000.0);
        }
        const subquery_id small = driver.add(0, "small", 60.0, 60.0);
        driver.advance_by(51);
        driver.next_started();
        REQUIRE(driver.finished.count(small) == 1);
        CHECK(driver.finished.at(small).reason == missing_reason::overloaded);
        CHECK(driver.finished.at(small).retry_after.ms() < 50.0);
        CHECK(driver.scheduler.estimated_wait(0).ms() > 300.0);
    }
    SECTION("urgent work is not refused because less urgent work waits")
    {
        // Guards against an estimate at arrival that ignores the order.
        queued_scheduler driver;
        for (int i = 0; i < 50; ++i)
        {
            driver.add(4, "large", 5000.0, 5000.0);
        }
        CHECK(driver.scheduler.estimated_wait(0).ms() > 300.0);
        CHECK(driver.scheduler.estimated_wait(0, 0).ms() < 30.0);
        CHECK(driver.scheduler.estimated_wait(0, 4).ms() > 300.0);
        CHECK(driver.scheduler.estimated_wait(0, 4, team_name("small")).ms() < 30.0);
        const subquery_id urgent = driver.add(0, "", 100.0, 100.0);
        const subquery_id small = driver.add(4, "small", 100.0, 100.0);
        CHECK(driver.finished.empty());
        CHECK(driver.next_started() == urgent);
        // The teams have received equal service, so that the name decides which one is first.
        const subquery_id of_large = driver.next_started();
        CHECK(of_large < urgent);
        CHECK(driver.next_started() == small);
        const subquery_id refused = driver.add(4, "large", 100.0, 100.0);
        CHECK(driver.finished.count(refused) == 1);
    }
    SECTION("a shard that is added later has the same order")
    {
        // Guards against queues that are created by a later configuration with the other order.
        queued_scheduler driver;
        driver.scheduler.configure(make_service(2, 1, 1), 1, driver.now);
        const auto add = [&](int priority, double deadline_ms)
        {
            subquery request;
            request.id = driver.next++;
            request.shard = 1;
            request.priority = priority;
            request.deadline = driver.now + duration::from_ms(deadline_ms);
            return driver.submit(request);
        };
        add(0, 1000.0);
        add(3, 500.0);
        const subquery_id urgent = add(0, 900.0);
        CHECK(driver.next_started() == urgent);
    }
}

namespace
{

router_options ordered_router(bool on = true)
{
    router_options options;
    options.load.orders_by_priority = on;
    options.scheduling.max_pipelined = 0;
    return options;
}

route single_route(const std::string& name, int priority)
{
    route item = single(true);
    item.name = name;
    item.path_prefix = "/" + name + "/";
    item.priority = priority;
    return item;
}

std::shared_ptr<const team_table> teams_with(const std::vector<std::string>& names)
{
    shared_map<team_name, team> teams;
    for (const std::string& name : names)
    {
        team item;
        item.name = team_name(name);
        teams.insert_or_assign(item.name, item);
    }
    return std::make_shared<const team_table>(teams, "");
}

/// Submits requests until the two slots of the only backend server are in use.
void fill_slots(router_driver& driver)
{
    driver.submit("/first/x");
    driver.submit("/first/x");
    REQUIRE(driver.running("s0") == 2);
}

request_number next_request(router_driver& driver)
{
    driver.end_attempt("s0", attempt_status::answered);
    REQUIRE(driver.running("s0") == 2);
    return driver.started.back().request;
}

} // namespace

TEST_CASE("a new revision applies to waiting work", "[queue]")
{
    const std::map<std::string, route> before{{"first", single_route("first", 0)},
                                              {"second", single_route("second", 5)}};

    SECTION("a route's changed priority changes the order")
    {
        // Guards against work that waits by the priority of an earlier revision.
        const bool on = GENERATE(true, false);
        router_driver driver(ordered_router(on));
        driver.set_view(before, 1, 1);
        fill_slots(driver);
        driver.submit("/first/x", 400.0);
        const request_number second = driver.submit("/second/x", 450.0);
        std::map<std::string, route> after = before;
        after.at("first").priority = 7;
        driver.set_view(after, 1, 1);
        CHECK((next_request(driver) == second) == on);
    }
    SECTION("waiting work of a removed route is refused as not run, running work continues")
    {
        // Guards against work for a route that is gone, and against an end of work that already runs.
        router_driver driver(ordered_router());
        driver.set_view(before, 1, 1);
        fill_slots(driver);
        const request_number waiting = driver.submit("/first/x");
        const request_number kept = driver.submit("/second/x");
        driver.set_view({{"second", single_route("second", 5)}}, 1, 1);
        REQUIRE(driver.answers.size() == 1);
        CHECK(driver.answers.at(waiting).end == routed_end::refused);
        CHECK(driver.answers.at(waiting).reason == missing_reason::withdrawn);
        CHECK(driver.running("s0") == 2);
        CHECK(next_request(driver) == kept);
    }
    SECTION("without the switch it is served")
    {
        router_driver driver(ordered_router(false));
        driver.set_view(before, 1, 1);
        fill_slots(driver);
        driver.submit("/first/x");
        driver.set_view({{"second", single_route("second", 5)}}, 1, 1);
        CHECK(driver.answers.empty());
    }
    SECTION("waiting work of a removed team is refused; a team that was never known is not removed")
    {
        // Guards against the refusal of work that another entry delegated by a newer revision.
        router_driver driver(ordered_router());
        driver.teams = teams_with({"a", "b"});
        driver.set_view(before, 1, 1);
        fill_slots(driver);
        driver.team = "a";
        const request_number removed = driver.submit("/first/x");
        driver.team = "b";
        driver.submit("/first/x");
        driver.team = "unknown";
        driver.submit("/first/x");
        driver.teams = teams_with({"b"});
        driver.set_view(before, 1, 1);
        REQUIRE(driver.answers.size() == 1);
        CHECK(driver.answers.at(removed).end == routed_end::refused);
        CHECK(driver.waiting_work().size() == 2);
    }
    SECTION("a fan-out of a removed route ends with what already runs")
    {
        // Guards against an end as not run although some shards run the request.
        router_driver driver(ordered_router());
        std::map<std::string, route> routes = before;
        routes["all"] = fan_out_over(2, 1.0);
        driver.set_view(routes, 2, 1);
        fill_slots(driver);
        const request_number partly = driver.submit("/all/x");
        REQUIRE(driver.running("s1") == 1);
        driver.set_view(before, 2, 1);
        REQUIRE(driver.answers.count(partly) == 1);
        CHECK(driver.answers.at(partly).end == routed_end::failed);
    }
}

TEST_CASE("the report of waiting work is bounded", "[queue]")
{
    // Guards against a state dump that grows with the number of teams.
    waiting_counts counts;
    for (int i = 0; i < 100; ++i)
    {
        counts[{i % 3, team_name("t" + std::to_string(i))}] = {static_cast<std::size_t>(i), 1};
    }
    const nlohmann::json report = shell::waiting_report(counts, 10);
    REQUIRE(report.at("largest").size() == 10);
    CHECK(report.at("largest").at(0) ==
          nlohmann::json({{"priority", 0}, {"team", "t99"}, {"on_time", 99}, {"late", 1}}));
    CHECK(report.at("others") == nlohmann::json({{"on_time", 89 * 90 / 2}, {"late", 90}}));
}
