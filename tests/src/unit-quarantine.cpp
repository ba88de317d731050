#include "router_driver.hpp"

#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include "shell/crash_record_file.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace flaxtiller;
using namespace flaxtiller::test;
using standing = crash_ledger::standing;

namespace
{

routed_request make_request()
{
    routed_request request;
    request.id = "r1";
    request.method = "GET";
    request.host = "h";
    request.target = "/all/x";
    request.body = "b";
    request.team = team_name("t");
    return request;
}

const request_fingerprint asked("f");

server_crash crash_of(const std::string& server, bool on_trial = false)
{
    return {backend_server_name(server), 0, on_trial};
}

/// Three crashes, none of them on trial.
crash_record suspect_record(const request_fingerprint& request)
{
    return {request, {crash_of("x"), crash_of("y"), crash_of("z")}, false, {}};
}

crash_record quarantined_record(const request_fingerprint& request)
{
    crash_record record = suspect_record(request);
    record.crashes.push_back(crash_of("t", true));
    return record;
}

/// What @ref router_driver asks for.
request_fingerprint fingerprint_of_target(const std::string& target)
{
    routed_request request;
    request.host = "h";
    request.target = target;
    return fingerprint_of(request);
}

} // namespace

TEST_CASE("the fingerprint of a request", "[quarantine]")
{
    const routed_request first = make_request();
    routed_request other = first;

    SECTION("is the same for what a caller sends again, by whatever entry it goes")
    {
        other.id = "r2";
        other.patience = duration::from_ms(7);
        other.asked_list = 3;
        other.asked_shards = {1, 2};
        other.headers = {{"Accept", "*/*"}};
        CHECK(fingerprint_of(other) == fingerprint_of(first));
    }
    SECTION("differs with all that is asked, and with who asks")
    {
        for (std::string* text : {&other.method, &other.host, &other.target, &other.body})
        {
            other = first;
            *text += "2";
            CHECK(fingerprint_of(other) != fingerprint_of(first));
        }
        other = first;
        other.team = team_name("u");
        CHECK(fingerprint_of(other) != fingerprint_of(first));
    }
    SECTION("keeps apart what only looks alike when written in one row")
    {
        other.host = first.host + first.target;
        other.target.clear();
        CHECK(fingerprint_of(other) != fingerprint_of(first));
    }
}

TEST_CASE("crashes under a request add up to a standing", "[quarantine]")
{
    crash_ledger ledger;
    const time_point now(duration::from_ms(1000));

    SECTION("enough on different backend servers make it suspect, one on trial proves it")
    {
        for (const char* server : {"a", "b"})
        {
            ledger.on_crash(asked, crash_of(server), now);
            CHECK(ledger.standing_of(asked, now) == standing::clear);
        }
        ledger.on_crash(asked, crash_of("b"), now);
        CHECK(ledger.standing_of(asked, now) == standing::clear);
        ledger.on_crash(asked, crash_of("c"), now);
        CHECK(ledger.standing_of(asked, now) == standing::suspect);
        ledger.on_crash(asked, crash_of("d", true), now);
        CHECK(ledger.standing_of(asked, now) == standing::quarantined);
        CHECK(ledger.quarantine_left(asked, now) == crash_ledger::quarantined_for);
    }
    SECTION("two lives of one backend server count as two")
    {
        for (std::int64_t life = 1; life <= 3; ++life)
        {
            ledger.on_crash(asked, {backend_server_name("a"), life, false}, now);
        }
        CHECK(ledger.standing_of(asked, now) == standing::suspect);
    }
    SECTION("an answer clears it, and outweighs crashes that are told later")
    {
        ledger.merge(quarantined_record(asked), now);
        ledger.on_answer(asked, now);
        CHECK(ledger.standing_of(asked, now) == standing::clear);
        CHECK_FALSE(ledger.merge(quarantined_record(asked), now));
        ledger.on_crash(asked, crash_of("e", true), now);
        CHECK(ledger.standing_of(asked, now) == standing::clear);
        const time_point later = now + crash_ledger::cleared_for;
        CHECK(ledger.merge(quarantined_record(asked), later));
        CHECK(ledger.standing_of(asked, later) == standing::quarantined);
    }
    SECTION("an answer to a request of which no crash is known leaves nothing behind")
    {
        ledger.on_answer(asked, now);
        CHECK(ledger.empty());
        CHECK(ledger.take_changes(now).empty());
    }
    SECTION("a quarantine ends with time")
    {
        ledger.merge(quarantined_record(asked), now);
        const time_point end = now + crash_ledger::quarantined_for;
        CHECK(ledger.standing_of(asked, end - duration::from_ms(1)) == standing::quarantined);
        CHECK(ledger.standing_of(asked, end) == standing::clear);
        ledger.expire(end);
        CHECK(ledger.empty());
    }
    SECTION("words of several processes add up, in any order and as often as they come")
    {
        const crash_record first{asked, {crash_of("a"), crash_of("b")}, false, {}};
        const crash_record second{asked, {crash_of("b"), crash_of("c", true)}, false, duration::from_ms(50)};
        crash_ledger other;
        for (int i = 0; i < 2; ++i)
        {
            CHECK(ledger.merge(first, now) == (i == 0));
            CHECK(ledger.merge(second, now) == (i == 0));
            CHECK(other.merge(second, now) == (i == 0));
            CHECK(other.merge(first, now) == (i == 0));
        }
        CHECK(ledger.standing_of(asked, now) == standing::quarantined);
        CHECK(other.standing_of(asked, now) == standing::quarantined);
        CHECK(ledger.quarantine_left(asked, now) == other.quarantine_left(asked, now));
    }
    SECTION("the crash on trial is kept however many others there are")
    {
        for (int i = 0; i < 20; ++i)
        {
            ledger.on_crash(asked, crash_of(std::to_string(i)), now);
        }
        ledger.on_crash(asked, crash_of("last", true), now);
        CHECK(ledger.standing_of(asked, now) == standing::quarantined);
        CHECK(ledger.record_of(asked, now).crashes.size() == crash_ledger::most_crashes_kept);
    }
    SECTION("of too many requests the least suspect are forgotten")
    {
        ledger.merge(quarantined_record(asked), now);
        for (std::size_t i = 0; i < 2 * crash_ledger::most_records; ++i)
        {
            ledger.on_crash(request_fingerprint(std::to_string(i)), crash_of("a"),
                            now + duration::from_ms(1.0 * i));
        }
        const time_point later = now + duration::from_ms(5000);
        CHECK(ledger.all(0, later).size() == crash_ledger::most_records);
        CHECK(ledger.standing_of(asked, later) == standing::quarantined);
    }
    SECTION("a record survives the wire")
    {
        const crash_record record = quarantined_record(asked);
        CHECK(nlohmann::json(record).get<crash_record>() == record);
    }
}

TEST_CASE("a request that crashes backend servers is held back, tried and quarantined", "[quarantine]")
{
    router_driver driver;
    driver.serve({{"all", fan_out_over(6, 0.5)}, {"one", single(true)}}, 6);
    const request_number first = driver.ask("/all/x");
    const request_fingerprint fingerprint = fingerprint_of_target("/all/x");
    REQUIRE(driver.started.size() == 6);

    SECTION("after enough crashes nothing more of it is sent, neither again nor late")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash(service);
        }
        // The first two were sent again before there were enough.
        CHECK(driver.started.size() == 4);
        const auto before = driver.started;
        driver.pass(90);
        CHECK(driver.started.size() == before.size());
        CHECK(driver.answers.empty());
    }
    SECTION("one answer clears it, and what was held back goes on")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash(service);
        }
        driver.end("s4", attempt_status::answered);
        CHECK(driver.running("s2") == 1);
        CHECK(driver.running("s3") == 1);
        for (const char* service : {"s0", "s1", "s2", "s3", "s5"})
        {
            driver.end(service, attempt_status::answered);
        }
        CHECK(driver.answers.at(first).end == routed_end::merged);
        CHECK(driver.answers.at(first).missing == 0);
        CHECK(driver.crashes.back().cleared);
    }
    SECTION("with nothing under way it is tried once; a crash then ends it at once")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash(service);
        }
        CHECK(driver.started.empty());
        driver.pass(99);
        CHECK(driver.started.empty());
        driver.pass(2);
        REQUIRE(driver.started.size() == 1);
        CHECK(driver.started[0].on_trial);
        driver.crash(driver.started[0].service.str());
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.answers.at(first).reason == missing_reason::quarantined);

        const request_number copy = driver.ask("/all/x");
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(copy).end == routed_end::refused);
        CHECK(driver.answers.at(copy).reason == missing_reason::quarantined);
        CHECK(driver.answers.at(copy).retry_after > duration::from_ms(1000));
        // Others aren't touched by it.
        driver.ask("/one/x");
        CHECK(driver.started.size() == 1);
    }
    SECTION("a trial that is answered lets all of it through")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash(service);
        }
        driver.pass(101);
        REQUIRE(driver.started.size() == 1);
        driver.end(driver.started[0].service.str(), attempt_status::answered);
        CHECK(driver.started.size() == 3);
    }
    SECTION("a trial that wasn't run proves nothing and is followed by another, a moment later")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash(service);
        }
        driver.pass(101);
        REQUIRE(driver.started.size() == 1);
        driver.end(driver.started[0].service.str(), attempt_status::unreachable);
        CHECK(driver.started.empty());
        driver.pass(101);
        CHECK(driver.started.size() == 1);
        CHECK(driver.answers.empty());
    }
    SECTION("crashes while other parts of it are in are none of its doing")
    {
        driver.end("s5", attempt_status::answered);
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash(service);
            CHECK(driver.running(service) == 1);
        }
        CHECK(driver.crashes.empty());
    }
    SECTION("attempts that end in other ways are no crashes")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.end(service, attempt_status::cut);
        }
        CHECK(driver.crashes.empty());
        CHECK(driver.started.size() == 6);
    }
    SECTION("the word of another process ends what isn't under way, and lets the rest end")
    {
        const request_number other = driver.ask("/all/y");
        driver.told({quarantined_record(fingerprint), suspect_record(fingerprint_of_target("/all/y"))});
        CHECK(driver.answers.empty());
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5"})
        {
            driver.crash(service);
        }
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.answers.count(other) == 0);
        // What it was told isn't told again, but what it saw itself is, as far as it is kept.
        CHECK(driver.crashes.size() == crash_ledger::most_crashes_kept - 4);
    }
}

TEST_CASE("a request that is suspect when it comes is tried before it is run", "[quarantine]")
{
    router_driver driver;
    driver.serve({{"all", fan_out_over(4, 1.0)}, {"one", single(true)}}, 4);
    driver.told(
        {suspect_record(fingerprint_of_target("/all/x")), suspect_record(fingerprint_of_target("/all/y"))});
    const request_number first = driver.ask("/all/x");
    const request_number second = driver.ask("/all/y");
    REQUIRE(driver.started.size() == 1);
    CHECK(driver.started[0].request == first);

    SECTION("one of them at a time")
    {
        driver.crash("s0");
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.started.empty());
        driver.pass(101);
        REQUIRE(driver.started.size() == 1);
        CHECK(driver.started[0].request == second);
        driver.end("s0", attempt_status::answered);
        for (const char* service : {"s1", "s2", "s3"})
        {
            driver.end(service, attempt_status::answered);
        }
        CHECK(driver.answers.at(second).end == routed_end::merged);
        CHECK(driver.answers.at(second).missing == 0);
    }
    SECTION("a caller that goes away takes the trial with it")
    {
        driver.gone(first);
        driver.pass(201);
        REQUIRE(driver.started.size() == 2);
        CHECK(driver.started[1].request == second);
    }
    SECTION("also where its services are withdrawn meanwhile")
    {
        driver.serve({{"one", single(true)}}, 1);
        driver.crash("s0");
        driver.gone(second);
        driver.pass(501);
        CHECK(driver.answers.count(first) == 1);
        CHECK(driver.started.empty());
    }
    SECTION("what was never tried is refused as not run when its time is up")
    {
        driver.pass(501);
        CHECK(driver.answers.at(first).end == routed_end::late);
        CHECK(driver.answers.at(second).end == routed_end::refused);
    }
}

TEST_CASE("an entry that runs shards for another one tells it of the crashes", "[quarantine]")
{
    router_driver driver;
    driver.serve({{"all", fan_out_over(4, 0.5)}}, 4);
    const request_fingerprint fingerprint = fingerprint_of_target("/all/x");

    SECTION("as it refuses what is quarantined")
    {
        driver.told({quarantined_record(fingerprint)});
        const request_number number = driver.arrive_as_peer("/all/x", true);
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(number).end == routed_end::refused);
        REQUIRE(driver.answers.at(number).crashes.size() == 1);
        CHECK(driver.answers.at(number).crashes[0].request == fingerprint);
    }
    SECTION("and as what it ran fails")
    {
        const request_number number = driver.arrive_as_peer("/all/x", true);
        for (const char* service : {"s1", "s2", "s1", "s2"})
        {
            driver.crash(service);
        }
        driver.pass(200);
        REQUIRE(driver.answers.at(number).crashes.size() == 1);
        CHECK(driver.answers.at(number).crashes[0].crashes.size() == 4);
    }
}

TEST_CASE("a group that failed under a crashing request is asked of no other entry", "[quarantine]")
{
    router_driver driver;
    driver.near_services = 2;
    driver.peers = {{instance_name("far-1"), "far", "far-zone", "a:1"},
                    {instance_name("far-2"), "far", "far-zone", "a:2"}};
    driver.serve({{"all", fan_out_over(6, 0.9)}}, 6);
    driver.ask("/all/x");
    REQUIRE(driver.sent_away.size() == 1);

    SECTION("whose crashes it is told of with the answer")
    {
        driver.failed_by_crashes(driver.sent_away[0], quarantined_record(fingerprint_of_target("/all/x")));
        CHECK(driver.sent_away.size() == 1);
    }
    SECTION("whose crashes another process told")
    {
        driver.told({suspect_record(fingerprint_of_target("/all/x"))});
        driver.lose(driver.sent_away[0].peer);
        driver.pass(90);
        CHECK(driver.sent_away.size() == 1);
    }
    SECTION("while without crashes it is")
    {
        driver.lose(driver.sent_away[0].peer);
        CHECK(driver.sent_away.size() + driver.started.size() > 3);
    }
}

TEST_CASE("crash records are kept over a restart", "[quarantine]")
{
    const std::string folder =
        std::filesystem::temp_directory_path() / ("crashes-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string path = folder + "/crash_records";
    const std::int64_t saved_at = 1000000;

    SECTION("older by the time between")
    {
        crash_record record = quarantined_record(asked);
        record.age = duration::from_ms(5);
        {
            shell::crash_record_file file(path);
            file.save({}, saved_at - 1);
            file.save({record}, saved_at);
            file.flush();
        }
        record.age = duration::from_ms(105);
        CHECK(shell::crash_record_file(path).load(saved_at + 100) == std::vector{record});
        // The time of day was set back.
        record.age = duration::from_ms(5);
        CHECK(shell::crash_record_file(path).load(saved_at - 100) == std::vector{record});
    }
    SECTION("and a file that is missing or damaged is none")
    {
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
        std::ofstream(path) << "{\"records\": 3";
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
        std::ofstream(path) << "[]";
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
    }
    std::filesystem::remove_all(folder);
}
