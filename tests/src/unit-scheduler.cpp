#include "scheduler_driver.hpp"

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::make_service;
using flaxtiller::test::scheduler_driver;

namespace
{

/// @brief Records latencies of 5 ms with one straggler of 49 ms in 50, so that overdue attempts are replaced.
void record_stragglers(scheduler_driver& driver)
{
    for (int i = 0; i < 400; ++i)
    {
        const subquery_id id = driver.submit();
        driver.advance_by(i % 50 == 0 ? 49 : 5);
        while (driver.finished.count(id) == 0)
        {
            driver.answer(driver.running.begin()->first);
        }
        while (!driver.running.empty())
        {
            driver.answer(driver.running.begin()->first);
        }
    }
    driver.finished.clear();
    driver.cancelled.clear();
    driver.started = 0;
}

} // namespace

TEST_CASE("the scheduler respects slots and deadlines", "[dispatch]")
{
    scheduler_driver driver(make_service(1, 2));

    SECTION("a backend server gets at most as many attempts as it has slots, and one pipelined attempt")
    {
        for (int i = 0; i < 50; ++i)
        {
            driver.submit();
        }
        CHECK(driver.running_on("0a") == 3);
        CHECK(driver.running_on("0b") == 3);
        CHECK(driver.scheduler.queued() == 44);
    }

    SECTION("a backend server that sheds gets no pipelined attempts")
    {
        for (int i = 0; i < 6; ++i)
        {
            driver.submit();
        }
        attempt_result shed;
        shed.status = attempt_status::shed;
        shed.retry_after = duration::from_ms(5);
        const auto pipelined = std::prev(driver.running.end())->first;
        const std::string server = driver.running.at(pipelined).server.str();
        driver.finish_attempt(pipelined, shed);
        driver.advance_by(100);
        CHECK(driver.running_on(server) == 2);
        CHECK(driver.finished.empty());
    }

    SECTION("queued subqueries are started in the order of their deadlines")
    {
        for (int i = 0; i < 6; ++i)
        {
            driver.submit();
        }
        const subquery_id later = driver.submit(0, 900);
        const subquery_id sooner = driver.submit(0, 500);
        driver.answer(driver.running.begin()->first);
        CHECK_NOTHROW(driver.attempt_of(sooner));
        CHECK_THROWS(driver.attempt_of(later));
    }

    SECTION("a subquery that cannot be answered before its deadline is refused at once, with a retry time")
    {
        driver.record_latencies(100);
        for (int i = 0; i < 60; ++i)
        {
            driver.submit(0, 1000);
        }
        const subquery_id unservable = driver.submit(0, 10);
        REQUIRE(driver.finished.count(unservable) == 1);
        CHECK(driver.finished.at(unservable).outcome == outcome::not_run);
        CHECK(driver.finished.at(unservable).reason == missing_reason::overloaded);
        CHECK(driver.finished.at(unservable).retry_after > duration::from_ms(10));
    }

    SECTION("at the deadline a queued subquery ends as not run, and a running one is unknown and cancelled")
    {
        const subquery_id first = driver.submit(0, 20);
        for (int i = 0; i < 5; ++i)
        {
            driver.submit(0, 1000);
        }
        const subquery_id waiting = driver.submit(0, 20);
        driver.advance_by(21);
        CHECK(driver.finished.at(first).outcome == outcome::unknown);
        CHECK(driver.finished.at(first).reason == missing_reason::late);
        CHECK(driver.finished.at(waiting).outcome == outcome::not_run);
        CHECK(driver.cancelled.size() == 1);
    }
}

TEST_CASE("the scheduler replaces overdue attempts", "[dispatch]")
{
    scheduler_driver driver(make_service(1, 2));

    SECTION("no timers remain of attempts that ended")
    {
        // Where waiting is better, the timer for overdue attempts would lie far in the future.
        const bool stragglers = GENERATE(false, true);
        stragglers ? record_stragglers(driver) : driver.record_latencies(400);
        driver.advance_by(100);
        CHECK(driver.scheduler.running() == 0);
        CHECK(driver.scheduler.next_time() == time_point::never());
    }

    SECTION("no timers remain of subqueries that were abandoned")
    {
        const subquery_id id = driver.submit();
        driver.scheduler.abandon(id, driver.now);
        driver.fail(driver.running.begin()->first, attempt_status::cancelled);
        driver.advance_by(100);
        CHECK(driver.scheduler.next_time() == time_point::never());
    }

    SECTION("no attempt is replaced where waiting is expected to be faster")
    {
        driver.record_latencies(400);
        driver.submit();
        driver.advance_by(30);
        CHECK(driver.started == 1);
    }

    SECTION("an overdue attempt is hedged where a slot is free, and the slower attempt is cancelled")
    {
        record_stragglers(driver);
        const subquery_id id = driver.submit();
        const attempt_id overdue = driver.running.begin()->first;
        driver.advance_until(
            [&]
            {
                return driver.running.size() > 1;
            },
            45);
        REQUIRE(driver.running.size() == 2);
        const attempt_id hedge = std::prev(driver.running.end())->first;
        CHECK(driver.running.at(hedge).server != driver.running.at(overdue).server);
        driver.answer(hedge);
        CHECK(driver.finished.at(id).outcome == outcome::run);
        CHECK(driver.cancelled == std::vector<attempt_id>{overdue});
    }

    SECTION("without a free slot the overdue attempt is cancelled, and its replacement gets the slot first")
    {
        record_stragglers(driver);
        for (int i = 0; i < 6; ++i)
        {
            driver.submit(0, 1000);
        }
        const subquery_id waiting = driver.submit(0, 2000);
        driver.advance_until(
            [&]
            {
                return !driver.cancelled.empty();
            },
            45);
        REQUIRE_FALSE(driver.cancelled.empty());
        const attempt_id overdue = driver.cancelled.front();
        const subquery_id id = driver.running.at(overdue).subquery;
        driver.fail(overdue, attempt_status::cancelled);
        CHECK_NOTHROW(driver.attempt_of(id));
        CHECK_THROWS(driver.attempt_of(waiting));
    }

    SECTION("an answer that arrives before the confirmation of the cancel is used")
    {
        record_stragglers(driver);
        for (int i = 0; i < 6; ++i)
        {
            driver.submit(0, 1000);
        }
        driver.advance_until(
            [&]
            {
                return !driver.cancelled.empty();
            },
            45);
        REQUIRE_FALSE(driver.cancelled.empty());
        const attempt_id overdue = driver.cancelled.front();
        const subquery_id id = driver.running.at(overdue).subquery;
        driver.answer(overdue);
        CHECK(driver.finished.at(id).outcome == outcome::run);
    }

    SECTION("a backend server that ignores cancels gets no replacements, as its slots stay in use")
    {
        record_stragglers(driver);
        for (int i = 0; i < 200; ++i)
        {
            driver.submit(0, 100000);
        }
        driver.advance_by(2000);
        CHECK(driver.running_on("0a") <= 3);
        CHECK(driver.running_on("0b") <= 3);
        CHECK(driver.cancelled.size() <= 6);
        CHECK(driver.started == 6);
    }

    SECTION("extra attempts stay within the budget")
    {
        record_stragglers(driver);
        const double tokens = driver.scheduler.budget();
        const int rounds = 400;
        for (int i = 0; i < rounds; ++i)
        {
            driver.submit(0, 100000);
            driver.advance_by(30);
            while (!driver.running.empty())
            {
                driver.answer(driver.running.begin()->first);
            }
        }
        const double allowed = tokens + rounds * scheduler_options{}.extra_load_share;
        CHECK(driver.started - rounds <= allowed + 1);
        CHECK(driver.started > rounds);
    }

    SECTION("a subquery that must not be repeated is never hedged, replaced or retried")
    {
        record_stragglers(driver);
        const subquery_id id = driver.submit(0, 500, false);
        driver.advance_by(100);
        CHECK(driver.started == 1);
        driver.fail(driver.running.begin()->first, attempt_status::cut);
        CHECK(driver.finished.at(id).outcome == outcome::unknown);
        CHECK(driver.finished.at(id).reason == missing_reason::cut);
        CHECK(driver.started == 1);
    }
}

TEST_CASE("the scheduler retries failed attempts and ejects failing backend servers", "[dispatch]")
{
    scheduler_driver driver(make_service(1, 2));

    SECTION("a refused subquery is retried on the other replica, even if it must not be repeated")
    {
        const attempt_status refused =
            GENERATE(attempt_status::unreachable, attempt_status::shed, attempt_status::leaving);
        const subquery_id id = driver.submit(0, 1000, false);
        const auto first = driver.running.begin()->second;
        driver.fail(first.attempt, refused);
        REQUIRE(driver.running.size() == 1);
        CHECK(driver.running.begin()->second.server != first.server);
        driver.answer(driver.running.begin()->first);
        CHECK(driver.finished.at(id).outcome == outcome::run);
    }

    SECTION("after a broken connection a repeatable subquery is retried and its outcome is run")
    {
        const subquery_id id = driver.submit();
        driver.fail(driver.running.begin()->first, attempt_status::cut);
        REQUIRE(driver.running.size() == 1);
        driver.answer(driver.running.begin()->first);
        CHECK(driver.finished.at(id).outcome == outcome::run);
    }

    SECTION("a failing backend server is ejected and returns with one attempt at a time")
    {
        for (int i = 0; i < 20; ++i)
        {
            driver.submit();
            driver.submit();
            driver.advance_by(5);
            while (!driver.running.empty())
            {
                const auto begun = driver.running.begin()->second;
                begun.server.str() == "0a" ? driver.fail(begun.attempt, attempt_status::unreachable)
                                           : driver.answer(begun.attempt);
            }
        }
        REQUIRE(driver.scheduler.servers().at(0)->ejections_in_row > 0);
        driver.advance_by(600);
        for (int i = 0; i < 10; ++i)
        {
            driver.submit();
        }
        CHECK(driver.running_on("0a") <= 1);
    }

    SECTION("with all replicas ejected a subquery ends at once, with a retry time")
    {
        for (int i = 0; i < 10; ++i)
        {
            driver.submit();
            while (!driver.running.empty())
            {
                driver.fail(driver.running.begin()->first, attempt_status::unreachable);
            }
        }
        const subquery_id id = driver.submit();
        REQUIRE(driver.finished.count(id) == 1);
        CHECK(driver.finished.at(id).outcome == outcome::not_run);
        CHECK(driver.finished.at(id).reason == missing_reason::no_backend_server);
        CHECK(driver.finished.at(id).retry_after > duration{});
    }
}

TEST_CASE("a backend server that reported to be leaving is tried again later", "[dispatch]")
{
    scheduler_driver driver(make_service(1, 2));
    const auto report_leaving = [&]
    {
        const std::string server_name = driver.running.begin()->second.server.str();
        driver.fail(driver.running.begin()->first, attempt_status::leaving);
        return server_name;
    };
    driver.submit();
    const std::string leaving_server = report_leaving();

    SECTION("it gets no attempts for 20 seconds while another one serves the shard")
    {
        for (int i = 0; i < 20; ++i)
        {
            CHECK(driver.running_on(leaving_server) == 0);
            driver.answer(driver.running.begin()->first);
            driver.advance_by(1000);
            driver.submit();
        }
    }
    SECTION("where all reported so, they get one attempt each after two seconds until they answer")
    {
        report_leaving();
        driver.submit();
        CHECK(driver.running.empty());
        driver.advance_by(2001);
        driver.submit();
        driver.submit();
        driver.submit();
        CHECK(driver.running_on("0a") == 1);
        CHECK(driver.running_on("0b") == 1);
        driver.answer(driver.running.begin()->first);
        driver.submit();
        driver.submit();
        CHECK(driver.running.size() == 3);
    }
}

TEST_CASE("a leaving backend server gets no new attempts", "[dispatch]")
{
    placed_service placed = make_service(1, 2);
    scheduler_driver driver(placed);
    const subquery_id in_flight = driver.submit();
    const std::string server_name = driver.running.begin()->second.server.str();

    SECTION("if the platform's list marks it as leaving")
    {
        driver.scheduler.set_leaving(backend_server_name(server_name), true, driver.now);
    }
    SECTION("if the backend server reports that it is leaving")
    {
        const subquery_id other = driver.submit();
        const subquery_id third = driver.submit();
        (void)other;
        attempt_result result;
        result.status = attempt_status::answered;
        result.leaving = true;
        for (const auto& [id, begun] : std::map(driver.running))
        {
            if (begun.server.str() == server_name && begun.subquery != in_flight)
            {
                driver.finish_attempt(id, result);
            }
        }
        (void)third;
    }
    SECTION("if the configuration marks it as leaving")
    {
        for (backend_server& server : placed.shards[0])
        {
            server.leaving = server.name.str() == server_name;
        }
        driver.scheduler.configure(placed, 1, driver.now);
    }
    const std::size_t before = driver.running_on(server_name);
    for (int i = 0; i < 10; ++i)
    {
        driver.submit();
    }
    CHECK(driver.running_on(server_name) == before);
    // The attempts that were already running end normally.
    driver.answer(driver.attempt_of(in_flight).attempt);
    CHECK(driver.finished.at(in_flight).outcome == outcome::run);
}

TEST_CASE("the scheduler selects backend servers by index version", "[dispatch]")
{
    scheduler_driver driver(make_service(1, 2));
    for (int i = 0; i < 4; ++i)
    {
        driver.submit();
    }
    for (const auto& [id, begun] : std::map(driver.running))
    {
        driver.answer(id, begun.server.str() == "0a" ? std::vector<std::string>{"1", "2"}
                                                     : std::vector<std::string>{"1"});
    }

    SECTION("a subquery is sent only to backend servers that hold its version")
    {
        for (int i = 0; i < 3; ++i)
        {
            driver.submit(0, 1000, true, "2");
        }
        CHECK(driver.running_on("0b") == 0);
    }
    SECTION("a subquery whose version no backend server holds ends at once")
    {
        const subquery_id id = driver.submit(0, 1000, true, "3");
        CHECK(driver.finished.at(id).reason == missing_reason::wrong_version);
        CHECK(driver.finished.at(id).outcome == outcome::not_run);
    }
    SECTION("the versions held by the backend servers of a shard are reported")
    {
        CHECK(driver.scheduler.held_versions(0) ==
              std::vector<index_version>{index_version("1"), index_version("2")});
    }
}

TEST_CASE("the connection shares of all candidates stay within the limit", "[dispatch]")
{
    const int limit = GENERATE(1, 2, 5, 25, 45, 120);
    const int slots = GENERATE(1, 2, 4);
    const int instances = GENERATE(1, 2, 9, 10, 3300);
    placed_service placed = make_service(1, 2, slots);
    for (backend_server& server : placed.shards[0])
    {
        server.connection_limit = limit;
    }
    const int candidates = candidate_count(placed, instances);
    const connection_share share = share_of(placed.shards[0][0], candidates);
    CHECK(candidates >= 1);
    CHECK(candidates <= std::max(instances, 1));
    CHECK(share.connections * candidates <= limit);
    if (limit >= 2 * (slots + 2))
    {
        // One share is kept free for the time in which two revisions name different candidates.
        CHECK(share.connections * (candidates + 1) <= limit);
        CHECK(share.for_subqueries >= slots);
    }
}

TEST_CASE("owners", "[dispatch]")
{
    placement placed;
    placed.services.emplace(service_name("dispatch"), make_service(1, 2));
    for (int i = 0; i < 10; ++i)
    {
        instance item;
        item.name = instance_name("e" + std::to_string(i));
        placed.instances.emplace(item.name, item);
    }
    const auto before = owner_candidates(service_name("dispatch"), 0, placed);
    REQUIRE(before.size() == 5);

    SECTION("a leaving instance is no candidate, and the others keep their order")
    {
        placed.instances.at(before[0]).leaving = true;
        const auto after = owner_candidates(service_name("dispatch"), 0, placed);
        CHECK(after[0] == before[1]);
        CHECK(std::equal(before.begin() + 1, before.end(), after.begin()));
    }
    SECTION("a new instance becomes the first candidate of few services")
    {
        instance fresh;
        fresh.name = instance_name("e10");
        placement grown = placed;
        grown.instances.emplace(fresh.name, fresh);
        int moved = 0;
        for (int i = 0; i < 1000; ++i)
        {
            const service_name name("s" + std::to_string(i));
            moved += owner_candidates(name, 0, placed)[0] != owner_candidates(name, 0, grown)[0] ? 1 : 0;
        }
        CHECK(moved > 40);
        CHECK(moved < 160);
    }
}
