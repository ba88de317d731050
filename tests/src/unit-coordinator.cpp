#include "scheduler_driver.hpp"

#include <flaxtiller/coordinator/replay.hpp>
#include <flaxtiller/coordinator/service_coordinator.hpp>
#include <flaxtiller/dispatch/owner_choice.hpp>

#include <catch2/catch.hpp>

#include <fstream>

using namespace flaxtiller;

namespace
{

const service_name dispatch_service("dispatch");

std::shared_ptr<const placement> two_instances(int shards = 2)
{
    auto placed = std::make_shared<placement>();
    placed->revision = 3;
    placed->services.emplace(dispatch_service, test::make_service(shards, 2));
    for (const char* name : {"e1", "e2"})
    {
        instance item;
        item.name = instance_name(name);
        placed->instances.emplace(item.name, item);
    }
    return placed;
}

/// Drives the coordinator of one instance with explicit events.
struct driver
{
    explicit driver(const std::string& self) : coordinator(instance_name(self), dispatch_service, {}, 500)
    {
        feed(placement_changed{two_instances()});
    }

    void feed(const coordinator_event& event)
    {
        coordinator.handle(event, now);
        for (coordinator_action& action : coordinator.take_actions())
        {
            actions.push_back(std::move(action));
        }
    }

    void advance(double ms)
    {
        now = now + duration::from_ms(ms);
        feed(time_passed{});
    }

    void send_query(query_id id, bool repeatable = true, double deadline_ms = 1000)
    {
        query_request request;
        request.service = dispatch_service;
        request.body = "due";
        request.repeatable = repeatable;
        request.deadline = duration::from_ms(deadline_ms);
        if (!repeatable)
        {
            request.shards = {1};
            request.key = request_key("refund");
            request.key_time_ms = 1;
        }
        feed(query_arrived{id, request});
    }

    template <typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        for (const coordinator_action& action : actions)
        {
            if (const auto* item = std::get_if<Action>(&action))
            {
                taken.push_back(*item);
            }
        }
        std::erase_if(actions,
                      [](const coordinator_action& a)
                      {
                          return std::holds_alternative<Action>(a);
                      });
        return taken;
    }

    void answer_attempts()
    {
        for (const auto& started : take<dispatch::start_attempt>())
        {
            dispatch::attempt_result result;
            result.status = dispatch::attempt_status::answered;
            result.version = index_version("1");
            result.held_versions = {index_version("1")};
            result.body = std::make_shared<const std::string>("found");
            feed(attempt_ended{started.attempt, result});
        }
    }

    time_point now{duration::from_ms(5000)};
    service_coordinator coordinator;
    std::vector<coordinator_action> actions;
};

std::string owner_name()
{
    return dispatch::owner_candidates(dispatch_service, 0, *two_instances())[0].str();
}

std::string non_owner_name()
{
    return owner_name() == "e1" ? "e2" : "e1";
}

/// @return what an instance delegates to the owner of the shards for a new query
std::vector<delegate_to_peer> delegate_query(driver& other)
{
    other.feed(peer_reachable{instance_name(owner_name()), true});
    other.send_query(1);
    return other.take<delegate_to_peer>();
}

void receive_results(driver& other, const std::vector<send_results_to_peer>& results)
{
    for (const send_results_to_peer& batch : results)
    {
        other.feed(peer_answered{instance_name(owner_name()), batch.results});
    }
}

} // namespace

TEST_CASE("the owner of the shards executes a query without delegation", "[coordinator]")
{
    driver owner(owner_name());
    owner.feed(peer_reachable{instance_name(non_owner_name()), true});
    owner.send_query(1);
    CHECK(owner.take<delegate_to_peer>().empty());
    owner.answer_attempts();
    const auto answers = owner.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer.is_complete());
    CHECK(owner.coordinator.open_queries() == 0);
}

TEST_CASE("another instance delegates its subqueries to the owner in one message", "[coordinator]")
{
    driver owner(owner_name());
    driver other(non_owner_name());
    const auto delegations = delegate_query(other);
    REQUIRE(delegations.size() == 1);
    REQUIRE(delegations[0].subqueries.size() == 2);
    owner.feed(peer_delegated{instance_name(non_owner_name()), delegations[0].subqueries});
    owner.answer_attempts();
    const auto results = owner.take<send_results_to_peer>();

    SECTION("the instance merges the returned results")
    {
        receive_results(other, results);
        const auto answers = other.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.is_complete());
    }

    SECTION("an unreachable owner is replaced, and its late results are ignored")
    {
        other.feed(peer_reachable{instance_name(owner_name()), false});
        const auto attempts = other.take<dispatch::start_attempt>();
        CHECK(attempts.size() == 2);
        receive_results(other, results);
        CHECK(other.take<answer_caller>().empty());
    }

    SECTION("the delegated deadline is reduced by the round trip reserve")
    {
        CHECK(delegations[0].subqueries[0].time_left < duration::from_ms(1000));
        CHECK(delegations[0].subqueries[0].time_left > duration::from_ms(990));
    }
}

TEST_CASE("an answer isn't made from shards of another number of shards", "[coordinator]")
{
    const placement_changed divided_anew{two_instances(4)};

    SECTION("at an owner that has a newer revision")
    {
        driver owner(owner_name());
        driver other(non_owner_name());
        const auto delegations = delegate_query(other);
        REQUIRE(delegations.size() == 1);
        owner.feed(divided_anew);
        owner.feed(peer_delegated{instance_name(non_owner_name()), delegations[0].subqueries});
        CHECK(owner.take<dispatch::start_attempt>().empty());
        receive_results(other, owner.take<send_results_to_peer>());
        const auto answers = other.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.missing.size() == 2);
        CHECK(answers[0].answer.outcome == outcome::not_run);
    }
    SECTION("when a shard is tried again after a newer revision took effect")
    {
        driver owner(owner_name());
        owner.send_query(1);
        const auto attempts = owner.take<dispatch::start_attempt>();
        REQUIRE(attempts.size() == 2);
        owner.feed(divided_anew);
        for (const dispatch::start_attempt& started : attempts)
        {
            dispatch::attempt_result refused;
            refused.status = dispatch::attempt_status::leaving;
            owner.feed(attempt_ended{started.attempt, refused});
        }
        CHECK(owner.take<dispatch::start_attempt>().empty());
        const auto answers = owner.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.missing.size() == 2);
    }
    SECTION("but an owner goes by its own revision for an older build, which doesn't state the number")
    {
        driver owner(owner_name());
        peer_subquery older;
        older.number = 1;
        older.time_left = duration::from_ms(500);
        nlohmann::json message = subqueries_to_json({older});
        message["subqueries"][0].erase("shards");
        owner.feed(peer_delegated{instance_name(non_owner_name()), subqueries_from_json(message)});
        CHECK(owner.take<dispatch::start_attempt>().size() == 1);
    }
}

TEST_CASE("an instance that resumes after a long suspension doesn't act on expired queries", "[coordinator]")
{
    driver owner(owner_name());
    owner.send_query(1, true, 100);
    const auto attempts = owner.take<dispatch::start_attempt>();
    REQUIRE(attempts.size() == 2);
    // The first event after the suspension is an answer that waited in a socket.
    owner.now = owner.now + duration::from_ms(60000);
    dispatch::attempt_result stale;
    stale.status = dispatch::attempt_status::answered;
    stale.version = index_version("1");
    owner.feed(attempt_ended{attempts[0].attempt, stale});
    const auto answers = owner.take<answer_caller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].answer.covered.empty());
    CHECK(answers[0].answer.outcome == outcome::unknown);
    CHECK(owner.take<dispatch::start_attempt>().empty());
}

TEST_CASE("a request that must not be repeated", "[coordinator]")
{
    driver owner(owner_name());
    owner.send_query(1, false);

    SECTION("the request isn't sent before the register grants it")
    {
        CHECK(owner.take<dispatch::start_attempt>().empty());
        REQUIRE(owner.take<register_begin>().size() == 1);
        owner.feed(register_began{1, {register_status::granted, {}}});
        REQUIRE(owner.take<dispatch::start_attempt>().size() == 1);
    }

    SECTION("the caller gets the answer after the outcome is recorded")
    {
        owner.feed(register_began{1, {register_status::granted, {}}});
        owner.answer_attempts();
        CHECK(owner.take<answer_caller>().empty());
        const auto records = owner.take<register_finish>();
        REQUIRE(records.size() == 1);
        CHECK(records[0].answer.outcome == outcome::run);
        owner.feed(register_finished{1});
        REQUIRE(owner.take<answer_caller>().size() == 1);
    }

    SECTION("the recorded answer is returned if the request was executed before")
    {
        query_answer before;
        before.outcome = outcome::run;
        before.covered[1] = std::make_shared<const std::string>("paid");
        owner.feed(register_began{1, {register_status::done, nlohmann::json(before).dump()}});
        const auto answers = owner.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.repeated);
        CHECK(*answers[0].answer.covered.at(1) == "paid");
        CHECK(owner.take<dispatch::start_attempt>().empty());
    }

    SECTION("the outcome is unknown if the register is unsure or unreachable")
    {
        const auto status =
            GENERATE(register_status::in_progress, register_status::unknown, register_status::unreachable);
        owner.feed(register_began{1, {status, {}}});
        const auto answers = owner.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.outcome == outcome::unknown);
        CHECK(owner.take<dispatch::start_attempt>().empty());
    }

    SECTION("a grant that arrives after the deadline is returned as not run, and nothing is sent")
    {
        owner.advance(1001);
        REQUIRE(owner.take<answer_caller>().size() == 1);
        owner.feed(register_began{1, {register_status::granted, {}}});
        CHECK(owner.take<dispatch::start_attempt>().empty());
        const auto records = owner.take<register_finish>();
        REQUIRE(records.size() == 1);
        CHECK(records[0].answer.outcome == outcome::not_run);
    }

    SECTION("the loss of the owner after sending makes the outcome unknown without another attempt")
    {
        driver other(non_owner_name());
        other.feed(peer_reachable{instance_name(owner_name()), true});
        other.send_query(1, false);
        other.feed(register_began{1, {register_status::granted, {}}});
        REQUIRE(other.take<delegate_to_peer>().size() == 1);
        other.feed(peer_reachable{instance_name(owner_name()), false});
        CHECK(other.take<dispatch::start_attempt>().empty());
        const auto records = other.take<register_finish>();
        REQUIRE(records.size() == 1);
        CHECK(records[0].answer.outcome == outcome::unknown);
    }

    SECTION("a refusal before the register is asked leaves the outcome unknown")
    {
        driver driver_e1("e1");
        query_request request;
        request.service = dispatch_service;
        request.repeatable = false;
        request.shards = {77};
        driver_e1.feed(query_arrived{9, request});
        const auto answers = driver_e1.take<answer_caller>();
        REQUIRE(answers.size() == 1);
        CHECK(answers[0].answer.refusal == errc::unknown_shard);
        CHECK(answers[0].answer.outcome == outcome::unknown);
    }
}

TEST_CASE("the replay of a recorded trace reproduces the answers in the trace", "[coordinator][replay]")
{
    std::ifstream trace(TRACE_FOLDER "/quickstart.jsonl");
    REQUIRE(trace);
    const replay_report report = replay(trace);
    INFO(report.found.to_text());
    CHECK_FALSE(report.found.has_errors());
    CHECK(report.expected_answers == 8);
    CHECK(report.matching_answers == report.expected_answers);

    SECTION("the replay reports a changed answer")
    {
        std::stringstream text;
        std::ifstream again(TRACE_FOLDER "/quickstart.jsonl");
        std::string content((std::istreambuf_iterator<char>(again)), {});
        const auto at = content.rfind("\"outcome\":\"run\"");
        REQUIRE(at != std::string::npos);
        content.replace(at, 15, "\"outcome\":\"not_run\"");
        text << content;
        CHECK(replay(text).found.has_errors());
    }
}
