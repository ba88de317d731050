#include "router_driver.hpp"
#include "team_view.hpp"

#include <flaxtiller/routing/caller_admission.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

const std::string secret = generate_key_secret();

routing_view view_with_keys(const std::vector<std::string>& keys, const std::vector<std::string>& other_keys)
{
    shared_map<team_name, team> teams;
    for (const auto& [name, held] : {std::pair("t", keys), std::pair("other", other_keys)})
    {
        team item;
        item.name = team_name(name);
        item.keys = held;
        item.limit = {10.0, 10.0};
        teams.insert_or_assign(item.name, item.without_keys(secret));
    }
    return view_of_teams(teams, secret, 3);
}

load_options switched(bool on)
{
    load_options load;
    load.spreads_returns = on;
    return load;
}

routed_request request_to_all()
{
    routed_request request;
    request.host = "h";
    request.target = "/x";
    request.patience = duration::from_ms(1000);
    return request;
}

} // namespace

// Guards against a withdrawn key that is served because its request was accepted before.
TEST_CASE("a request that waits for the coordinator is unauthorized once its key is withdrawn",
          "[teams][withdrawal]")
{
    const bool is_on = GENERATE(true, false);
    caller_admission admission(switched(is_on));
    admission.configure(view_with_keys({"a", "b"}, {"c"}));
    // Without contact to the coordinator, each request waits for its decision.
    admission.arrive(1, request_to_all(), "a", at_ms(5000));
    admission.arrive(2, request_to_all(), "b", at_ms(5000));
    admission.take_actions(at_ms(5000));
    std::vector<std::pair<request_number, routed_end>> refused;
    const auto collect = [&](time_point now)
    {
        for (const admission_action& action : admission.take_actions(now))
        {
            if (const auto* item = std::get_if<reject_request>(&action))
            {
                refused.emplace_back(item->request, item->outcome.end);
            }
        }
    };

    SECTION("withdrawn")
    {
        admission.configure(view_with_keys({"b"}, {"c"}));
    }
    SECTION("moved to another team")
    {
        admission.configure(view_with_keys({"b"}, {"a", "c"}));
    }
    collect(at_ms(5010));
    CHECK(refused == std::vector{std::pair(request_number{1}, routed_end::unauthorized)});
    CHECK(admission.take_withdrawn().empty());
    // The request with the other key is decided as usual, the withdrawn one not a second time.
    refused.clear();
    admission.on_limit_update({1, {{1, false, duration::from_ms(9)}, {2, false, duration::from_ms(9)}}, {}},
                              at_ms(5020));
    collect(at_ms(5020));
    CHECK(refused.size() == 1);
    CHECK(refused.back() == std::pair(request_number{2}, routed_end::over_limit));
}

// Guards against a withdrawal that is lost or reported twice after the request was passed to the router.
TEST_CASE("the admitted requests whose key is withdrawn are named once", "[teams][withdrawal]")
{
    caller_admission admission(switched(true));
    admission.configure(view_with_keys({"a", "b"}, {}));
    admission.on_coordinator_contact(at_ms(0));
    for (request_number number = 1; number <= 2; ++number)
    {
        admission.arrive(number, request_to_all(), "a", at_ms(1));
    }
    const auto admitted = admission.take_actions(at_ms(1));
    REQUIRE(std::holds_alternative<admit_request>(admitted.front()));

    SECTION("of those without an answer")
    {
        admission.request_ended(1);
        admission.configure(view_with_keys({"b"}, {}));
        CHECK(admission.take_withdrawn() == std::vector<request_number>{2});
        admission.configure(view_with_keys({}, {}));
        CHECK(admission.take_withdrawn().empty());
    }
    SECTION("not if the key stays")
    {
        admission.configure(view_with_keys({"a"}, {}));
        CHECK(admission.take_withdrawn().empty());
    }
    SECTION("not if no team is declared any more, as no request needs a key then")
    {
        routing_view view = view_with_keys({}, {});
        view.teams = std::make_shared<const team_table>();
        admission.configure(view);
        CHECK(admission.take_withdrawn().empty());
    }
}

// Guards against "not run" for a request that runs, and against a waiting one that is started later.
TEST_CASE("the router answers a withdrawn request unless an attempt was started", "[router][withdrawal]")
{
    router_driver driver;
    driver.set_view({{"one", single(true)}}, 1, 1);
    // Fills the backend server until a request waits.
    std::vector<request_number> numbers{driver.submit("/one/x")};
    while (driver.running("s0") == static_cast<int>(numbers.size()))
    {
        numbers.push_back(driver.submit("/one/x"));
        REQUIRE(numbers.size() < 100);
    }
    const int running = driver.running("s0");

    SECTION("while an attempt runs, the request completes")
    {
        driver.withdraw(numbers.front());
        CHECK(driver.answers.count(numbers.front()) == 0);
        driver.end_attempt("s0", attempt_status::answered);
        CHECK(driver.answers.at(numbers.front()).end == routed_end::passed_on);
    }
    SECTION("one that waits is answered, and never started")
    {
        driver.withdraw(numbers.back());
        REQUIRE(driver.answers.count(numbers.back()) == 1);
        CHECK(driver.answers.at(numbers.back()).end == routed_end::unauthorized);
        CHECK(driver.answers.at(numbers.back()).attempts == 0);
        // It is no longer open.
        driver.withdraw(numbers.back());
        driver.end_attempt("s0", attempt_status::answered);
        CHECK(driver.running("s0") == running - 1);
    }
}
