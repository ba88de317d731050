// The delays that owners state with outcomes: how routers set and use them, and what they cost.

#include "links/link_message.hpp"
#include "owned_fan_out.hpp"

#include <flaxtiller/routing/router.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;
using namespace flaxtiller::shell;
using namespace flaxtiller::test;

namespace
{

const time_point start{duration::from_ms(10000)};
const duration long_delay = 100_ms;

/// Runs one router and records its delegations and outcomes.
class owner_router_driver
{
  public:
    owner_router_driver(const routing_view& view, const load_options& load) : m_router(options_with(load))
    {
        m_router.configure(view, start);
    }

    /// @return the delegations of a new request of a caller
    std::vector<delegate_shards> delegations_of_request(time_point now)
    {
        m_router.arrive(++m_number, request(), now);
        return taken<delegate_shards>();
    }

    /// @return the attempts that a delegated request starts
    std::vector<start_routed_attempt> attempts_of(const route& matched_route, std::vector<std::size_t> shards)
    {
        auto delegated = std::make_shared<routed_request>(*request());
        delegated->delegated_list = list_id(matched_route.fan_out);
        delegated->delegated_shards = std::move(shards);
        delegated->answer_within = 50_ms;
        m_router.arrive(++m_number, delegated, start);
        return taken<start_routed_attempt>();
    }

    /// @return the outcomes that are sent when the attempts succeed
    std::vector<answer_request> succeed(const std::vector<start_routed_attempt>& attempts, time_point now)
    {
        auto answer = std::make_shared<backend_answer>();
        answer->status = 200;
        for (const start_routed_attempt& item : attempts)
        {
            m_router.attempt_ended(item.attempt, {}, answer, now);
        }
        return taken<answer_request>();
    }

    /// @return the delegations that follow from the outcome
    std::vector<delegate_shards> receive(const delegate_shards& delegation, routed_end end, duration delay)
    {
        routed_outcome outcome;
        outcome.end = end;
        outcome.runner_delay = delay;
        outcome.signatures.assign(end == routed_end::merged ? delegation.shards.size() : 0, "x");
        m_router.on_delegation_outcome(delegation.peer, delegation.number, outcome, start);
        return taken<delegate_shards>();
    }

    router& tested()
    {
        return m_router;
    }

  private:
    static router_options options_with(const load_options& load)
    {
        router_options options;
        options.load = load;
        return options;
    }

    static std::shared_ptr<routed_request> request()
    {
        auto made = std::make_shared<routed_request>();
        made->host = "h";
        made->target = "/all/x";
        made->patience = 800_ms;
        return made;
    }

    template <typename Action>
    std::vector<Action> taken()
    {
        std::vector<Action> found;
        for (const router_action& action : m_router.take_actions())
        {
            if (const auto* item = std::get_if<Action>(&action))
            {
                found.push_back(*item);
            }
        }
        return found;
    }

    router m_router;
    request_number m_number = 0;
};

load_options balanced()
{
    load_options load;
    load.balances_owners = true;
    return load;
}

} // namespace

TEST_CASE("routers state and use the delays of owners", "[owner_delays]")
{
    const owned_fan_out fan_out(1, 3, 3);
    owner_router_driver asker(fan_out.view_of("b0"), balanced());

    SECTION("an owner states how late it is with what is due, and only if the switch is on")
    {
        for (const bool is_on : {true, false})
        {
            owner_router_driver owner(fan_out.view_of("a0"), is_on ? balanced() : load_options{});
            const auto attempts = owner.attempts_of(fan_out.matched_route, {0});
            for (int i = 0; i < 40; ++i)
            {
                owner.tested().observe_processing_delay(60_ms, start);
            }
            const auto answers = owner.succeed(attempts, start);
            REQUIRE(answers.size() == 1);
            const duration stated = answers[0].outcome.runner_delay;
            CHECK(stated >= (is_on ? 59_ms : 0_ms));
            CHECK(stated <= (is_on ? 60_ms : 0_ms));
        }
    }
    SECTION("an owner states the longest wait among the shards that it was delegated")
    {
        const owned_fan_out two_shards(2, 3, 3);
        owner_router_driver owner(two_shards.view_of("a0"), balanced());
        const auto attempts = owner.attempts_of(two_shards.matched_route, {0, 1});
        // Further requests for the first shard wait for its slots.
        for (int i = 0; i < 8; ++i)
        {
            owner.attempts_of(two_shards.matched_route, {0});
        }
        const auto answers = owner.succeed(attempts, start + 10_ms);
        REQUIRE(answers.size() == 1);
        const service_name loaded("s0");
        const duration wait = owner.tested().scheduler_of(loaded)->estimated_wait(0);
        CHECK(wait > duration{});
        CHECK(answers[0].outcome.runner_delay >= wait);
    }
    SECTION("the delegating entry takes in the delay of an outcome, and drops it when the link breaks")
    {
        const auto sent = asker.delegations_of_request(start);
        REQUIRE(sent.size() == 1);
        asker.receive(sent[0], routed_end::merged, long_delay);
        CHECK(asker.tested().delays_of_owners().delay_of(sent[0].peer, start) == long_delay);
        // The shifted group names the reason.
        std::vector<delegate_shards> shifted;
        for (int i = 0; i < 4; ++i)
        {
            for (const delegate_shards& item : asker.delegations_of_request(start))
            {
                CHECK(item.shift.has_value() == (item.peer != sent[0].peer));
                shifted.push_back(item);
            }
        }
        CHECK(std::count_if(shifted.begin(), shifted.end(),
                            [](const delegate_shards& item)
                            {
                                return item.shift.has_value();
                            }) >= 2);
        asker.tested().on_entry_disconnected(sent[0].peer, start);
        CHECK(asker.tested().delays_of_owners().delay_of(sent[0].peer, start) == duration{});
    }
    SECTION("a refusal without a delay doesn't replace a report, but a late outcome does")
    {
        // Otherwise an owner that refuses as it is overloaded would appear to be idle after its back-off.
        const auto sent = asker.delegations_of_request(start);
        REQUIRE(sent.size() == 1);
        asker.receive(sent[0], routed_end::merged, long_delay);
        asker.receive(sent[0], routed_end::refused, duration{});
        CHECK(asker.tested().delays_of_owners().delay_of(sent[0].peer, start) == long_delay);
        asker.receive(sent[0], routed_end::late, 20_ms);
        CHECK(asker.tested().delays_of_owners().delay_of(sent[0].peer, start) == 20_ms);
    }
    SECTION("a shifted group is sent to one owner, and to the first one only if the second one fails")
    {
        // Otherwise the division would make two owners run a group.
        const auto sent = asker.delegations_of_request(start);
        REQUIRE(sent.size() == 1);
        asker.receive(sent[0], routed_end::merged, long_delay);
        std::vector<delegate_shards> shifted;
        for (int i = 0; i < 4 && (shifted.empty() || !shifted[0].shift); ++i)
        {
            shifted = asker.delegations_of_request(start);
            REQUIRE(shifted.size() == 1);
        }
        REQUIRE(shifted[0].shift);
        CHECK(shifted[0].shift->first == sent[0].peer);
        CHECK_FALSE(shifted[0].again);
        const auto next = asker.receive(shifted[0], routed_end::failed, duration{});
        REQUIRE(next.size() == 1);
        CHECK(next[0].peer == sent[0].peer);
        CHECK(next[0].again);
        CHECK_FALSE(next[0].shift);
        CHECK(asker.receive(next[0], routed_end::failed, duration{}).empty());
    }
    SECTION("a report of an entry that is not in the view is ignored")
    {
        delegate_shards unknown;
        unknown.peer = instance_name("gone");
        asker.receive(unknown, routed_end::merged, long_delay);
        CHECK(asker.tested().delays_of_owners().size() == 0);
    }
}

TEST_CASE("reports of delays cost no message, and as many bytes at any number of entries", "[owner_delays]")
{
    // Guards against a report that is sent to every entry, or that grows with the number of entries.
    constexpr int zones = 6;
    constexpr int shard_count = 90;
    constexpr std::size_t max_bytes_per_outcome = 6;
    std::size_t groups_at_30 = 0;
    for (const int entries : {30, 300, 2000})
    {
        const owned_fan_out fan_out(shard_count, entries / zones, entries - entries / zones);
        group_choice choice(true);
        choice.configure(fan_out.view_of("b0"));
        const time_point now{duration::from_ms(1000)};
        const auto sent = choice.groups_of(fan_out.matched_route, now);
        std::size_t added_bytes = 0;
        for (const group_choice::group& item : sent)
        {
            routed_return returned;
            returned.number = 1000;
            returned.outcome.end = routed_end::merged;
            returned.outcome.took = 31_ms;
            returned.outcome.signatures.assign(item.shards.size(), "0123456789abcdef");
            const std::size_t before = encode(returned).size();
            returned.outcome.runner_delay = owner_delays::max_counted;
            added_bytes += encode(returned).size() - before;
            choice.on_delay_report(item.peer, returned.outcome.runner_delay, now);
        }
        groups_at_30 = groups_at_30 == 0 ? sent.size() : groups_at_30;
        CHECK(sent.size() == groups_at_30);
        CHECK(added_bytes <= sent.size() * max_bytes_per_outcome);
        CAPTURE(entries, sent.size(), added_bytes);
        CHECK(added_bytes == 60);
        // Groups that move to their second owners are as many messages.
        CHECK(choice.groups_of(fan_out.matched_route, now).size() == sent.size());
        // The state is by owner of a group, not by entry.
        CHECK(choice.delays().size() <= 2 * sent.size());
    }
}

// Guards against the promise that a request hasn't run, though an owner whose link was lost may have run it.
TEST_CASE("a fan-out isn't refused after the link to its only owner was lost", "[router]")
{
    const owned_fan_out fan_out(1, 1, 1);
    owner_router_driver asker(fan_out.view_of("b0"), load_options{});
    const auto sent = asker.delegations_of_request(start);
    REQUIRE(sent.size() == 1);
    asker.tested().on_entry_disconnected(sent[0].peer, start);
    const auto answers = asker.succeed({}, start);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].outcome.end == routed_end::failed);
}
