#include "router_driver.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

constexpr int services = 4;
constexpr int many_records = 6;
constexpr int few_records = 2;

/// @return a route over all services
/// @param records the number of records in an answer
route route_with(int records, const std::string& prefix = "/all/")
{
    route item = fan_out_over(services, 0.75);
    item.path_prefix = prefix;
    item.top_records = records;
    return item;
}

/// An entry without near replicas, which delegates its fan-outs whole, and an entry that runs them. The two
/// may have different revisions.
struct two_entries
{
    two_entries()
    {
        asker.peers = {{instance_name("f1"), "far", "far-zone", ""},
                       {instance_name("f2"), "far", "far-zone", ""}};
        for (router_driver* entry : {&asker, &runner})
        {
            entry->records_per_answer = 3;
            entry->set_view({{"all", route_with(many_records)}}, services);
        }
    }

    /// Lets the runner answer the delegation.
    void run(const delegate_shards& delegation)
    {
        const request_number number = runner.receive_delegation(delegation);
        for (const std::size_t shard : delegation.shards)
        {
            runner.end_attempt("s" + std::to_string(shard), attempt_status::answered);
        }
        asker.receive_answer(delegation, runner.answers.at(number));
    }

    /// @return the greatest records of all services
    std::string greatest(int records) const
    {
        std::vector<std::string> bodies;
        for (int i = 0; i < services; ++i)
        {
            bodies.push_back(asker.records_of("s" + std::to_string(i)));
        }
        return top_records({bodies.begin(), bodies.end()}, static_cast<std::size_t>(records));
    }

    router_driver asker;
    router_driver runner;
};

} // namespace

TEST_CASE("an answer doesn't lack records because an entry that runs its shards has another revision",
          "[router]")
{
    two_entries entries;
    router_driver& asker = entries.asker;
    router_driver& runner = entries.runner;

    SECTION("in which the route keeps fewer records")
    {
        runner.set_view({{"all", route_with(few_records)}}, services);
        const request_number number = asker.submit("/all/x");
        entries.run(asker.delegations.at(0));
        CHECK(asker.answers.at(number).merged == entries.greatest(many_records));
    }
    SECTION("in which the path belongs to another route over the same shards")
    {
        asker.set_view({{"all", route_with(few_records)}, {"full", route_with(many_records, "/all/full/")}},
                       services);
        runner.set_view({{"all", route_with(few_records)}}, services);
        const request_number number = asker.submit("/all/full/x");
        entries.run(asker.delegations.at(0));
        CHECK(asker.answers.at(number).merged == entries.greatest(many_records));
    }
    SECTION("in which the route keeps more records")
    {
        asker.set_view({{"all", route_with(few_records)}}, services);
        const request_number number = asker.submit("/all/x");
        entries.run(asker.delegations.at(0));
        CHECK(asker.answers.at(number).merged == entries.greatest(few_records));
    }
    SECTION("and runs only a part of them")
    {
        asker.near_services = 2;
        asker.set_view({{"all", route_with(many_records)}}, services);
        runner.set_view({{"all", route_with(few_records)}}, services);
        const request_number number = asker.submit("/all/x");
        REQUIRE(asker.delegations.at(0).shards.size() == 2);
        entries.run(asker.delegations.at(0));
        asker.end_attempt("s0", attempt_status::answered);
        asker.end_attempt("s1", attempt_status::answered);
        CHECK(asker.answers.at(number).merged == entries.greatest(many_records));
    }
    SECTION("and is asked after another entry refused, when both have a newer revision")
    {
        const request_number number = asker.submit("/all/x");
        for (router_driver* entry : {&asker, &runner})
        {
            entry->set_view({{"all", route_with(few_records)}}, services);
        }
        asker.receive_final_outcome(asker.delegations.at(0), routed_end::refused);
        for (int i = 0; i < services; ++i)
        {
            asker.end_attempt("s" + std::to_string(i), attempt_status::answered);
        }
        CHECK(asker.answers.at(number).merged == entries.greatest(many_records));
    }
    SECTION("or an older build, which doesn't state how many records it keeps")
    {
        asker.submit("/all/x");
        routed_request request = delegated_request(asker.delegations.at(0));
        request.delegated_rules.reset();
        runner.set_view({{"all", route_with(few_records)}}, services);
        const request_number delegated = runner.receive_request(request);
        for (int i = 0; i < services; ++i)
        {
            runner.end_attempt("s" + std::to_string(i), attempt_status::answered);
        }
        CHECK(runner.answers.at(delegated).merged ==
              entries.greatest(services * entries.runner.records_per_answer));
    }
    SECTION("that takes effect between its partial and its final outcome")
    {
        const request_number number = asker.submit("/all/x");
        const delegate_shards delegation = asker.delegations.at(0);
        const request_number delegated = runner.receive_delegation(delegation);
        runner.end_attempt("s0", attempt_status::answered);
        runner.end_attempt("s1", attempt_status::answered);
        runner.advance(delegation.progress_within.ms() + 1.0);
        asker.receive_answer(delegation, runner.progress.at(delegated));
        runner.set_view({{"all", route_with(few_records)}}, services);
        runner.end_attempt("s2", attempt_status::answered);
        runner.end_attempt("s3", attempt_status::answered);
        asker.receive_answer(delegation, runner.answers.at(delegated));
        CHECK(asker.answers.at(number).merged == entries.greatest(many_records));
    }
}

TEST_CASE("shards are run within the limits of the route that the entry knows which took the request",
          "[router]")
{
    two_entries entries;
    router_driver& asker = entries.asker;
    router_driver& runner = entries.runner;

    SECTION("on no more backend servers, though the runner's revision allows more")
    {
        route once = route_with(many_records);
        once.most_attempts = 1;
        asker.set_view({{"all", once}}, services, 1);
        asker.submit("/all/x");
        runner.receive_delegation(asker.delegations.at(0));
        runner.end_attempt("s0", attempt_status::cut, 0);
        CHECK(runner.running("s0") == 0);
    }
    SECTION("once, though the runner's revision allows to repeat them")
    {
        route once = route_with(many_records);
        once.repeatable = false;
        asker.set_view({{"all", once}}, services);
        asker.submit("/all/x");
        runner.receive_delegation(asker.delegations.at(0));
        runner.end_attempt("s0", attempt_status::cut, 0);
        CHECK(runner.running("s0") == 0);
    }
    SECTION("once, though the entry that was asked for them is lost")
    {
        route once = route_with(many_records);
        once.repeatable = false;
        asker.set_view({{"all", once}}, services);
        const request_number number = asker.submit("/all/x");
        asker.disconnect_entry(asker.delegations.at(0).peer);
        CHECK(asker.started.empty());
        CHECK(asker.delegations.size() == 1);
        CHECK(asker.answers.at(number).end == routed_end::failed);
    }
    SECTION("for as long, though the runner's revision has a shorter time-out")
    {
        route shorter = route_with(many_records);
        shorter.timeout = duration::from_ms(50);
        runner.set_view({{"all", shorter}}, services);
        asker.submit("/all/x");
        const request_number delegated = runner.receive_delegation(asker.delegations.at(0));
        runner.advance(100);
        CHECK(runner.answers.count(delegated) == 0);
    }
}
