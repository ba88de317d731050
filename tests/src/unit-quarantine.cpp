#include "router_driver.hpp"

#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include "control/crash_record_file.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace flaxtiller;
using namespace flaxtiller::test;
using quarantine_state = crash_ledger::quarantine_state;

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

const request_fingerprint suspect_request("f");

server_crash crash_of(const std::string& server, bool on_trial = false)
{
    return {backend_server_name(server), 0, on_trial};
}

/// @return a record with three crashes, none of them in a trial attempt
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

/// @return the fingerprint of the request that @ref router_driver submits for a target
request_fingerprint fingerprint_of_target(const std::string& target)
{
    routed_request request;
    request.host = "h";
    request.target = target;
    return fingerprint_of(request);
}

} // namespace

TEST_CASE("the fingerprint identifies equal requests", "[quarantine]")
{
    const routed_request first = make_request();
    routed_request other = first;

    SECTION("it is the same for a repeated request, whichever entry receives it")
    {
        other.id = "r2";
        other.patience = duration::from_ms(7);
        other.delegated_list = 3;
        other.delegated_shards = {1, 2};
        other.headers = {{"Accept", "*/*"}};
        CHECK(fingerprint_of(other) == fingerprint_of(first));
    }
    SECTION("it differs if method, host, target, body or team differ")
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
    SECTION("it differs if only the concatenation of the fields is equal")
    {
        other.host = first.host + first.target;
        other.target.clear();
        CHECK(fingerprint_of(other) != fingerprint_of(first));
    }
}

TEST_CASE("the crashes of a request determine its quarantine state", "[quarantine]")
{
    crash_ledger ledger;
    const time_point now(duration::from_ms(1000));

    SECTION("crashes of enough backend servers make it suspect, a crash in a trial quarantines it")
    {
        for (const char* server : {"a", "b"})
        {
            ledger.on_crash(suspect_request, crash_of(server), now);
            CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::clear);
        }
        ledger.on_crash(suspect_request, crash_of("b"), now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::clear);
        ledger.on_crash(suspect_request, crash_of("c"), now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::suspect);
        ledger.on_crash(suspect_request, crash_of("d", true), now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::quarantined);
        CHECK(ledger.quarantine_time_left(suspect_request, now) == crash_ledger::quarantine_duration);
    }
    SECTION("crashes of several runs of one backend server are counted separately")
    {
        for (std::int64_t run = 1; run <= 3; ++run)
        {
            ledger.on_crash(suspect_request, {backend_server_name("a"), run, false}, now);
        }
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::suspect);
    }
    SECTION("an answer clears it and outweighs crashes that are reported later")
    {
        ledger.merge(quarantined_record(suspect_request), now);
        ledger.on_answer(suspect_request, now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::clear);
        CHECK_FALSE(ledger.merge(quarantined_record(suspect_request), now));
        ledger.on_crash(suspect_request, crash_of("e", true), now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::clear);
        const time_point later = now + crash_ledger::clearance_duration;
        CHECK(ledger.merge(quarantined_record(suspect_request), later));
        CHECK(ledger.quarantine_state_of(suspect_request, later) == quarantine_state::quarantined);
    }
    SECTION("an answer to a request without crashes leaves no record")
    {
        ledger.on_answer(suspect_request, now);
        CHECK(ledger.empty());
        CHECK(ledger.take_changes(now).empty());
    }
    SECTION("a quarantine ends after its duration")
    {
        ledger.merge(quarantined_record(suspect_request), now);
        const time_point end = now + crash_ledger::quarantine_duration;
        CHECK(ledger.quarantine_state_of(suspect_request, end - duration::from_ms(1)) ==
              quarantine_state::quarantined);
        CHECK(ledger.quarantine_state_of(suspect_request, end) == quarantine_state::clear);
        ledger.expire(end);
        CHECK(ledger.empty());
    }
    SECTION("records of several processes are merged in any order and any number of times")
    {
        const crash_record first{suspect_request, {crash_of("a"), crash_of("b")}, false, {}};
        const crash_record second{
            suspect_request, {crash_of("b"), crash_of("c", true)}, false, duration::from_ms(50)};
        crash_ledger other;
        for (int i = 0; i < 2; ++i)
        {
            CHECK(ledger.merge(first, now) == (i == 0));
            CHECK(ledger.merge(second, now) == (i == 0));
            CHECK(other.merge(second, now) == (i == 0));
            CHECK(other.merge(first, now) == (i == 0));
        }
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::quarantined);
        CHECK(other.quarantine_state_of(suspect_request, now) == quarantine_state::quarantined);
        CHECK(ledger.quarantine_time_left(suspect_request, now) ==
              other.quarantine_time_left(suspect_request, now));
    }
    // Guards against a proof that isn't passed on, as it names a run of a backend server that is known
    // already.
    SECTION("a trial on a run of a backend server that is known to have crashed changes the record")
    {
        ledger.merge(suspect_record(suspect_request), now);
        (void)ledger.take_changes(now);
        CHECK(ledger.merge({suspect_request, {crash_of("x", true)}, false, {}}, now));
        CHECK(ledger.take_changes(now).size() == 1);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::quarantined);
        CHECK_FALSE(ledger.merge({suspect_request, {crash_of("x")}, false, {}}, now));
    }
    // Guards against records that are lost with a message, and against sending the whole ledger again and
    // again.
    SECTION("recent records with more than one crash are sent again, the newest first")
    {
        const time_point later = now + duration::from_ms(1.0);
        ledger.merge(suspect_record(suspect_request), now);
        ledger.on_crash(request_fingerprint("one crash"), crash_of("a"), now);
        ledger.merge(quarantined_record(request_fingerprint("newer")), later);
        const auto recent = ledger.recent(later);
        REQUIRE(recent.size() == 2);
        CHECK(recent[0].request == request_fingerprint("newer"));
        CHECK(prove_cause(recent[0].crashes));
        CHECK(recent[1].request == suspect_request);
        CHECK(ledger.recent(now + crash_ledger::max_resend_age).size() == 2);
        CHECK(ledger.recent(later + crash_ledger::max_resend_age).size() == 1);
        for (std::size_t i = 0; i < 2 * crash_ledger::max_resent_records; ++i)
        {
            ledger.merge(suspect_record(request_fingerprint(std::to_string(i))), later);
        }
        CHECK(ledger.recent(later).size() == crash_ledger::max_resent_records);
    }
    SECTION("a crash in a trial is kept if the record is full")
    {
        for (int i = 0; i < 20; ++i)
        {
            ledger.on_crash(suspect_request, crash_of(std::to_string(i)), now);
        }
        ledger.on_crash(suspect_request, crash_of("last", true), now);
        CHECK(ledger.quarantine_state_of(suspect_request, now) == quarantine_state::quarantined);
        CHECK(ledger.record_of(suspect_request, now).crashes.size() == crash_ledger::max_crashes_per_record);
    }
    SECTION("records with the least evidence are evicted if the ledger is full")
    {
        ledger.merge(quarantined_record(suspect_request), now);
        for (std::size_t i = 0; i < 2 * crash_ledger::max_records; ++i)
        {
            ledger.on_crash(request_fingerprint(std::to_string(i)), crash_of("a"),
                            now + duration::from_ms(1.0 * i));
        }
        const time_point later = now + duration::from_ms(5000);
        CHECK(ledger.all(0, later).size() == crash_ledger::max_records);
        CHECK(ledger.quarantine_state_of(suspect_request, later) == quarantine_state::quarantined);
    }
    SECTION("a record is equal after conversion to JSON and back")
    {
        const crash_record record = quarantined_record(suspect_request);
        CHECK(nlohmann::json(record).get<crash_record>() == record);
    }
}

TEST_CASE("a request that crashes backend servers is held back, tested in a trial and quarantined",
          "[quarantine]")
{
    router_driver driver;
    driver.set_view({{"all", fan_out_over(6, 0.5)}, {"one", single(true)}}, 6);
    const request_number first = driver.submit("/all/x");
    const request_fingerprint fingerprint = fingerprint_of_target("/all/x");
    REQUIRE(driver.started.size() == 6);

    SECTION("after enough crashes no further attempt is started")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash_server(service);
        }
        // The first two parts were sent again, as the number of crashes was below the threshold.
        CHECK(driver.started.size() == 4);
        const auto before = driver.started;
        driver.advance(90);
        CHECK(driver.started.size() == before.size());
        CHECK(driver.answers.empty());
    }
    SECTION("an answer clears it, and the held parts are sent")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash_server(service);
        }
        driver.end_attempt("s4", attempt_status::answered);
        CHECK(driver.running("s2") == 1);
        CHECK(driver.running("s3") == 1);
        for (const char* service : {"s0", "s1", "s2", "s3", "s5"})
        {
            driver.end_attempt(service, attempt_status::answered);
        }
        CHECK(driver.answers.at(first).end == routed_end::merged);
        CHECK(driver.answers.at(first).missing == 0);
        CHECK(driver.crashes.back().cleared);
    }
    SECTION("with no running attempt a trial starts, and a crash in the trial ends the request")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash_server(service);
        }
        CHECK(driver.started.empty());
        driver.advance(99);
        CHECK(driver.started.empty());
        driver.advance(2);
        REQUIRE(driver.started.size() == 1);
        CHECK(driver.started[0].on_trial);
        driver.crash_server(driver.started[0].service.str());
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.answers.at(first).reason == missing_reason::quarantined);

        const request_number copy = driver.submit("/all/x");
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(copy).end == routed_end::refused);
        CHECK(driver.answers.at(copy).reason == missing_reason::quarantined);
        CHECK(driver.answers.at(copy).retry_after > duration::from_ms(1000));
        // Other requests aren't affected.
        driver.submit("/one/x");
        CHECK(driver.started.size() == 1);
    }
    SECTION("an answered trial releases all held parts")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash_server(service);
        }
        driver.advance(101);
        REQUIRE(driver.started.size() == 1);
        driver.end_attempt(driver.started[0].service.str(), attempt_status::answered);
        CHECK(driver.started.size() == 3);
    }
    SECTION("a trial that did not reach a backend server is followed by another after a pause")
    {
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5", "s0", "s1"})
        {
            driver.crash_server(service);
        }
        driver.advance(101);
        REQUIRE(driver.started.size() == 1);
        driver.end_attempt(driver.started[0].service.str(), attempt_status::unreachable);
        CHECK(driver.started.empty());
        driver.advance(101);
        CHECK(driver.started.size() == 1);
        CHECK(driver.answers.empty());
    }
    SECTION("crashes are not counted if other parts of the request have succeeded")
    {
        driver.end_attempt("s5", attempt_status::answered);
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.crash_server(service);
            CHECK(driver.running(service) == 1);
        }
        CHECK(driver.crashes.empty());
    }
    SECTION("attempts that end in other ways are not counted as crashes")
    {
        for (const char* service : {"s0", "s1", "s2", "s3"})
        {
            driver.end_attempt(service, attempt_status::cut);
        }
        CHECK(driver.crashes.empty());
        CHECK(driver.started.size() == 6);
    }
    SECTION("a record of another process quarantines it, and its running attempts continue")
    {
        const request_number other = driver.submit("/all/y");
        driver.receive_crash_records(
            {quarantined_record(fingerprint), suspect_record(fingerprint_of_target("/all/y"))});
        CHECK(driver.answers.empty());
        for (const char* service : {"s0", "s1", "s2", "s3", "s4", "s5"})
        {
            driver.crash_server(service);
        }
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.answers.count(other) == 0);
        // The router reports its own crashes that fit the record, and none of the received ones.
        CHECK(driver.crashes.size() == crash_ledger::max_crashes_per_record - 4);
    }
}

TEST_CASE("a request that is suspect on arrival is tested in a trial before it is run", "[quarantine]")
{
    router_driver driver;
    driver.set_view({{"all", fan_out_over(4, 1.0)}, {"one", single(true)}}, 4);
    driver.receive_crash_records(
        {suspect_record(fingerprint_of_target("/all/x")), suspect_record(fingerprint_of_target("/all/y"))});
    const request_number first = driver.submit("/all/x");
    const request_number second = driver.submit("/all/y");
    REQUIRE(driver.started.size() == 1);
    CHECK(driver.started[0].request == first);

    SECTION("one trial runs at a time")
    {
        driver.crash_server("s0");
        CHECK(driver.answers.at(first).end == routed_end::failed);
        CHECK(driver.started.empty());
        driver.advance(101);
        REQUIRE(driver.started.size() == 1);
        CHECK(driver.started[0].request == second);
        driver.end_attempt("s0", attempt_status::answered);
        for (const char* service : {"s1", "s2", "s3"})
        {
            driver.end_attempt(service, attempt_status::answered);
        }
        CHECK(driver.answers.at(second).end == routed_end::merged);
        CHECK(driver.answers.at(second).missing == 0);
    }
    SECTION("the trial ends if the caller disconnects")
    {
        driver.disconnect_caller(first);
        driver.advance(201);
        REQUIRE(driver.started.size() == 2);
        CHECK(driver.started[1].request == second);
    }
    SECTION("the requests end properly if their services are removed meanwhile")
    {
        driver.set_view({{"one", single(true)}}, 1);
        driver.crash_server("s0");
        driver.disconnect_caller(second);
        driver.advance(501);
        CHECK(driver.answers.count(first) == 1);
        CHECK(driver.started.empty());
    }
    SECTION("a request without a trial is refused as not run at its deadline")
    {
        driver.advance(501);
        CHECK(driver.answers.at(first).end == routed_end::late);
        CHECK(driver.answers.at(second).end == routed_end::refused);
    }
}

TEST_CASE("an entry reports crashes to the delegating entry", "[quarantine]")
{
    router_driver driver;
    driver.set_view({{"all", fan_out_over(4, 0.5)}}, 4);
    const request_fingerprint fingerprint = fingerprint_of_target("/all/x");

    SECTION("when it refuses a quarantined request")
    {
        driver.receive_crash_records({quarantined_record(fingerprint)});
        const request_number number = driver.submit_delegated("/all/x", true);
        CHECK(driver.started.empty());
        CHECK(driver.answers.at(number).end == routed_end::refused);
        REQUIRE(driver.answers.at(number).crashes.size() == 1);
        CHECK(driver.answers.at(number).crashes[0].request == fingerprint);
    }
    SECTION("when the delegated request fails")
    {
        const request_number number = driver.submit_delegated("/all/x", true);
        for (const char* service : {"s1", "s2", "s1", "s2"})
        {
            driver.crash_server(service);
        }
        driver.advance(200);
        REQUIRE(driver.answers.at(number).crashes.size() == 1);
        CHECK(driver.answers.at(number).crashes[0].crashes.size() == 4);
    }
}

TEST_CASE("a group that failed because of a crashing request is not reassigned", "[quarantine]")
{
    router_driver driver;
    driver.near_services = 2;
    driver.peers = {{instance_name("far-1"), "far", "far-zone", "a:1"},
                    {instance_name("far-2"), "far", "far-zone", "a:2"}};
    driver.set_view({{"all", fan_out_over(6, 0.9)}}, 6);
    driver.submit("/all/x");
    REQUIRE(driver.delegations.size() == 1);

    SECTION("if the failed outcome contains the crash record")
    {
        driver.receive_failure_with_crash(driver.delegations[0],
                                          quarantined_record(fingerprint_of_target("/all/x")));
        CHECK(driver.delegations.size() == 1);
    }
    SECTION("if another process has reported the crashes")
    {
        driver.receive_crash_records({suspect_record(fingerprint_of_target("/all/x"))});
        driver.disconnect_entry(driver.delegations[0].peer);
        driver.advance(90);
        CHECK(driver.delegations.size() == 1);
    }
    SECTION("but it is reassigned if there are no crashes")
    {
        driver.disconnect_entry(driver.delegations[0].peer);
        CHECK(driver.delegations.size() + driver.started.size() > 3);
    }
}

TEST_CASE("crash records are kept over a restart", "[quarantine]")
{
    const std::string folder =
        std::filesystem::temp_directory_path() / ("crashes-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    const std::string path = folder + "/crash_records";
    const std::int64_t saved_at = 1000000;

    SECTION("with the age increased by the time since they were saved")
    {
        crash_record record = quarantined_record(suspect_request);
        record.age = duration::from_ms(5);
        {
            shell::crash_record_file file(path);
            file.save({}, saved_at - 1);
            file.save({record}, saved_at);
            file.flush();
        }
        record.age = duration::from_ms(105);
        CHECK(shell::crash_record_file(path).load(saved_at + 100) == std::vector{record});
        // The system clock was set back.
        record.age = duration::from_ms(5);
        CHECK(shell::crash_record_file(path).load(saved_at - 100) == std::vector{record});
    }
    SECTION("a missing or damaged file gives no records")
    {
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
        std::ofstream(path) << "{\"records\": 3";
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
        std::ofstream(path) << "[]";
        CHECK(shell::crash_record_file(path).load(saved_at).empty());
    }
    std::filesystem::remove_all(folder);
}
