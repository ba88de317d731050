#include "router_driver.hpp"
#include "team_view.hpp"

#include <flaxtiller/distribution/confirmation_validity.hpp>
#include <flaxtiller/routing/caller_admission.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

const std::string secret = generate_key_secret();
constexpr double confirmed_until_ms = 3000.0;

/// @return a view in which one team has a limit
routing_view view_with_key(const std::string& key)
{
    team item;
    item.name = team_name("t");
    item.keys = {key};
    item.limit = {10.0, 10.0};
    shared_map<team_name, team> teams;
    teams.insert_or_assign(item.name, item.without_keys(secret));
    return view_of_teams(teams, secret, 3);
}

routed_request request_to(const std::string& host)
{
    routed_request request;
    request.host = host;
    request.target = "/x";
    request.patience = duration::from_ms(1000);
    return request;
}

std::vector<routed_outcome> rejected_by(caller_admission& admission, time_point now)
{
    std::vector<routed_outcome> outcomes;
    for (const admission_action& action : admission.take_actions(now))
    {
        if (const auto* item = std::get_if<reject_request>(&action))
        {
            outcomes.push_back(item->outcome);
        }
    }
    return outcomes;
}

void check_refused_as_unconfirmed(const routed_outcome& outcome)
{
    CHECK(outcome.end == routed_end::refused);
    CHECK(outcome.reason == missing_reason::unconfirmed);
    CHECK(outcome.retry_after == absence_rule::retry_after);
    CHECK(outcome.attempts == 0);
}

} // namespace

// Guards against refusals between two confirmations where reports are rare.
TEST_CASE("a confirmation is valid for the agreed time, but not less than for missed reports",
          "[distribution][unconfirmed]")
{
    distribution::change_bounds bounds;
    SECTION("an agreed time")
    {
        bounds.apply = duration::from_ms(3000);
        const distribution::confirmation_validity validity(bounds);
        CHECK(validity.time(duration::from_ms(250)) == duration::from_ms(3000));
        CHECK(validity.time(duration::from_ms(2000)) == duration::from_ms(5000));
    }
    SECTION("none")
    {
        CHECK(distribution::confirmation_validity(bounds).time(duration::from_ms(1000)) ==
              duration::from_ms(2500));
    }
}

// Guards against a caller that is told by an old revision that an added route or key doesn't exist.
TEST_CASE("what an unconfirmed configuration lacks is refused as not run", "[routing][unconfirmed]")
{
    SECTION("a key")
    {
        caller_admission admission;
        admission.configure(view_with_key("a"));
        admission.set_confirmed_until(at_ms(confirmed_until_ms));

        SECTION("in time it is unauthorized")
        {
            admission.arrive(1, request_to("h"), "unknown", at_ms(confirmed_until_ms - 1.0));
            const auto outcomes = rejected_by(admission, at_ms(confirmed_until_ms - 1.0));
            REQUIRE(outcomes.size() == 1);
            CHECK(outcomes[0].end == routed_end::unauthorized);
            CHECK(outcomes[0].reason == missing_reason::none);
        }
        SECTION("later it is refused")
        {
            const std::string key = GENERATE("unknown", "");
            admission.arrive(1, request_to("h"), key, at_ms(confirmed_until_ms));
            const auto outcomes = rejected_by(admission, at_ms(confirmed_until_ms));
            REQUIRE(outcomes.size() == 1);
            check_refused_as_unconfirmed(outcomes[0]);
            CHECK(outcomes[0].route == "all");
        }
        SECTION("a known one is admitted later, too")
        {
            admission.on_coordinator_contact(at_ms(confirmed_until_ms));
            admission.arrive(1, request_to("h"), "a", at_ms(confirmed_until_ms));
            CHECK(rejected_by(admission, at_ms(confirmed_until_ms)).empty());
        }
        SECTION("one that a new revision withdrew stays withdrawn")
        {
            admission.arrive(1, request_to("h"), "a", at_ms(2 * confirmed_until_ms));
            CHECK(rejected_by(admission, at_ms(2 * confirmed_until_ms)).empty());
            admission.configure(view_with_key("b"));
            const auto outcomes = rejected_by(admission, at_ms(2 * confirmed_until_ms));
            REQUIRE(outcomes.size() == 1);
            CHECK(outcomes[0].end == routed_end::unauthorized);
        }
    }
    SECTION("a route")
    {
        router_driver entry;
        entry.set_view({{"all", fan_out_over(4, 0.5)}}, 4);
        entry.set_confirmed_until(at_ms(confirmed_until_ms));

        SECTION("in time it doesn't exist")
        {
            entry.advance(confirmed_until_ms - 1.0 - entry.now.since_start().ms());
            CHECK(entry.answers.at(entry.submit("/nowhere/x")).end == routed_end::no_route);
        }
        SECTION("later it is refused")
        {
            entry.advance(confirmed_until_ms - entry.now.since_start().ms());
            const routed_outcome outcome = entry.answers.at(entry.submit("/nowhere/x"));
            check_refused_as_unconfirmed(outcome);
            CHECK(outcome.revision == 1);
            CHECK(entry.started.empty());
        }
        SECTION("confirmed again, it doesn't exist")
        {
            entry.advance(2 * confirmed_until_ms);
            entry.set_confirmed_until(entry.now + duration::from_ms(confirmed_until_ms));
            CHECK(entry.answers.at(entry.submit("/nowhere/x")).end == routed_end::no_route);
        }
        SECTION("a known one is served later, too")
        {
            entry.advance(2 * confirmed_until_ms);
            const request_number number = entry.submit("/all/x");
            for (int i = 0; i < 4; ++i)
            {
                entry.end_attempt("s" + std::to_string(i), attempt_status::answered);
            }
            CHECK(entry.answers.at(number).end == routed_end::merged);
        }
    }
}

// Guards against a 404 by the revision of an entry other than the one that took the request.
TEST_CASE("an entry that lacks the route of delegated shards causes no answer that there is none",
          "[routing][unconfirmed]")
{
    const bool is_confirmed = GENERATE(true, false);
    router_driver asker;
    router_driver runner;
    asker.peers = {{instance_name("f1"), "far", "far-zone", ""},
                   {instance_name("f2"), "far", "far-zone", ""}};
    asker.set_view({{"all", fan_out_over(4, 0.5)}}, 4);
    runner.set_view({}, 4);
    for (router_driver* entry : {&asker, &runner})
    {
        entry->set_confirmed_until(is_confirmed ? time_point::never() : time_point{});
    }
    const request_number number = asker.submit("/all/x");
    for (std::size_t i = 0; i < asker.delegations.size(); ++i)
    {
        const delegate_shards delegation = asker.delegations[i];
        const request_number delegated = runner.receive_delegation(delegation);
        CHECK(runner.answers.at(delegated).attempts == 0);
        asker.receive_answer(delegation, runner.answers.at(delegated));
    }
    REQUIRE(asker.answers.count(number) == 0);

    SECTION("its shards run where the request was taken")
    {
        for (int i = 0; i < 4; ++i)
        {
            asker.end_attempt("s" + std::to_string(i), attempt_status::answered);
        }
        CHECK(asker.answers.at(number).end == routed_end::merged);
    }
    SECTION("without an answer from them, the request isn't unknown")
    {
        asker.advance(2000.0);
        CHECK(asker.answers.at(number).end != routed_end::no_route);
    }
}
