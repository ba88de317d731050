// The choice between the two owners of a group by the delays that they report.

#include "owned_fan_out.hpp"

#include <flaxtiller/routing/group_choice.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

const time_point start{duration::from_ms(10000)};
const instance_name first("a0");
const instance_name second("a1");
const duration objective = 120_ms;
const duration long_delay = 100_ms;

/// @return how many of @a count groups the second owner runs
int turns_of_second(owner_delays& delays, const instance_name& self, double share, int count)
{
    int turns = 0;
    for (int i = 0; i < count; ++i)
    {
        turns += delays.is_turn_of_second(self, first, second, share, start) ? 1 : 0;
    }
    return turns;
}

} // namespace

TEST_CASE("the reported delay of an owner", "[owner_delays]")
{
    owner_delays delays;
    delays.report(first, 80_ms, start);

    SECTION("loses half of its weight per half-life and all of it at the greatest age")
    {
        // Otherwise an owner whose reports stop would be passed over forever.
        CHECK(delays.delay_of(first, start) == 80_ms);
        CHECK(delays.delay_of(first, start + owner_delays::half_life) == 40_ms);
        CHECK(delays.delay_of(first, start + owner_delays::max_age) == duration{});
    }
    SECTION("is the last one, also if that is zero")
    {
        // Otherwise the delay of an owner that recovered would only age.
        delays.report(first, duration{}, start);
        CHECK(delays.delay_of(first, start) == duration{});
    }
    SECTION("is zero for an owner that reported nothing")
    {
        CHECK(delays.delay_of(second, start) == duration{});
    }
    SECTION("is bounded, and never negative")
    {
        // Otherwise a single wrong figure would take longer to age than correct ones.
        delays.report(first, duration::from_ms(3.6e6), start);
        CHECK(delays.delay_of(first, start) == owner_delays::max_counted);
        delays.report(first, duration::from_ms(-5.0), start);
        CHECK(delays.delay_of(first, start) == duration{});
    }
    SECTION("is removed when its link breaks")
    {
        delays.drop(first);
        CHECK(delays.delay_of(first, start) == duration{});
        CHECK(delays.size() == 0);
    }
    SECTION("leaves no state behind when the owner leaves the view, or after the greatest age")
    {
        // Otherwise the state would grow with each replaced instance.
        delays.report(second, 10_ms, start);
        turns_of_second(delays, instance_name("b0"), 0.5, 1);
        REQUIRE(delays.size() == 3);
        owner_delays left = delays;
        left.retain(
            [](const instance_name& owner)
            {
                return owner != second;
            });
        CHECK(left.size() == 1);
        CHECK(left.delay_of(first, start) == 80_ms);
        delays.remove_expired(start + 60000_ms);
        CHECK(delays.size() == 0);
    }
    SECTION("is listed with its age, longest first and at most as many as wanted")
    {
        delays.report(second, 90_ms, start);
        delays.report(instance_name("a2"), 10_ms, start);
        const auto listed = delays.longest(2, start + 500_ms);
        REQUIRE(listed.size() == 2);
        CHECK(listed[0].owner == second);
        CHECK(listed[1].owner == first);
        CHECK(listed[1].received_at == start);
        CHECK(delays.longest(2, start + owner_delays::max_age).empty());
    }
}

TEST_CASE("the share of the second owner of a group", "[owner_delays]")
{
    SECTION("is zero if the first owner is not slower by more than a round trip")
    {
        // Otherwise noise would move groups to an owner without warm connections.
        CHECK(owner_delays::second_share(20_ms, 20_ms, objective) == 0.0);
        CHECK(owner_delays::second_share(20_ms, 60_ms, objective) == 0.0);
        CHECK(owner_delays::second_share(22.9_ms, 20_ms, objective) == 0.0);
    }
    SECTION("grows with the difference relative to the objective")
    {
        const double small = owner_delays::second_share(6_ms, 0_ms, objective);
        CHECK(small > 0.0);
        CHECK(owner_delays::second_share(12_ms, 0_ms, objective) == Approx(2.0 * small));
        CHECK(owner_delays::second_share(6_ms, 0_ms, objective * 2.0) == Approx(small / 2.0));
        CHECK(owner_delays::second_share(6_ms, 0_ms, {}) > 0.0);
    }
    SECTION("is bounded, so that the first owner continues to report")
    {
        CHECK(owner_delays::second_share(2000_ms, 0_ms, objective) == owner_delays::max_second_share);
        CHECK(owner_delays::max_second_share < 1.0);
    }
    SECTION("is kept by error diffusion, whatever the phase")
    {
        // Otherwise a share would be kept only in the mean, or not at all at low rates.
        for (const double share : {0.1, 0.33, 0.75})
        {
            for (const char* self : {"b0", "b1", "b2"})
            {
                owner_delays delays;
                CHECK(turns_of_second(delays, instance_name(self), share, 200) ==
                      Approx(share * 200).margin(1.0));
            }
        }
    }
    SECTION("is taken up at different requests by different entries")
    {
        // Otherwise all entries would send the same request to the second owner.
        int turns = 0;
        constexpr int entries = 100;
        for (int i = 0; i < entries; ++i)
        {
            owner_delays delays;
            turns += turns_of_second(delays, instance_name("b" + std::to_string(i)), 0.5, 1);
        }
        CHECK(turns >= entries * 3 / 10);
        CHECK(turns <= entries * 7 / 10);
    }
}

TEST_CASE("a group is divided between its first two owners by their delays", "[owner_delays]")
{
    const owned_fan_out fan_out(4, 4, 4);
    // All shards of the fan-out are in the groups of the plan; the first group is enough here.
    const routing_view view = fan_out.view_of("b0");
    shard_plan plan(view);
    const std::vector<instance_name> owners = plan.groups_of(fan_out.matched_route).at(0).runner_candidates;
    REQUIRE(owners.size() >= 3);
    constexpr int requests = 100;
    const auto count = [&](group_choice& choice, const instance_name& peer, time_point now = start)
    {
        int found = 0;
        for (int i = 0; i < requests; ++i)
        {
            const auto groups = choice.groups_of(fan_out.matched_route, now);
            found += !groups.empty() && groups[0].peer == peer && groups[0].shards.front() == 0 ? 1 : 0;
        }
        return found;
    };
    group_choice choice(true);
    choice.configure(view);

    SECTION("only if the switch is on")
    {
        group_choice off;
        off.configure(view);
        off.on_delay_report(owners[0], long_delay, start);
        CHECK(count(off, owners[0]) == requests);
        CHECK(off.delay_of(owners[0], start) == long_delay);
    }
    SECTION("all go to the first one while its delay is equal to that of the second one, or unknown")
    {
        CHECK(count(choice, owners[0]) == requests);
        choice.on_delay_report(owners[0], long_delay, start);
        choice.on_delay_report(owners[1], long_delay, start);
        CHECK(count(choice, owners[0]) == requests);
        choice.on_delay_report(owners[1], long_delay * 2.0, start);
        CHECK(count(choice, owners[0]) == requests);
    }
    SECTION("the second one gets its greatest share while the first one is slow, and no other owner any")
    {
        choice.on_delay_report(owners[0], long_delay, start);
        choice.on_delay_report(owners[2], duration{}, start);
        CHECK(count(choice, owners[1]) == 75);
        CHECK(count(choice, owners[0]) == 25);
        CHECK(count(choice, owners[2]) == 0);
    }
    SECTION("all return to the first one when its reports have aged")
    {
        choice.on_delay_report(owners[0], long_delay, start);
        CHECK(count(choice, owners[0], start + owner_delays::max_age) == requests);
    }
    SECTION("a second owner that failed gets none during its back-off")
    {
        choice.on_delay_report(owners[0], long_delay, start);
        choice.failed(owners[1], start);
        CHECK(count(choice, owners[0]) == requests);
    }
    SECTION("a first owner that failed gets none during its back-off, also if the second one is slower")
    {
        choice.on_delay_report(owners[1], long_delay, start);
        choice.failed(owners[0], start);
        CHECK(count(choice, owners[1]) == requests);
    }
    SECTION("the choice states its inputs")
    {
        choice.on_delay_report(owners[0], long_delay, start);
        choice.on_delay_report(owners[1], 10_ms, start);
        std::optional<owner_shift> shift;
        for (int i = 0; i < 4 && !shift; ++i)
        {
            shift = choice.groups_of(fan_out.matched_route, start).at(0).shift;
        }
        REQUIRE(shift);
        CHECK(*shift == owner_shift{owners[0], long_delay, 10_ms, owner_delays::max_second_share});
    }
    SECTION("the report of an owner that left the view is removed")
    {
        choice.on_delay_report(owners[0], long_delay, start);
        choice.configure(fan_out.view_of("b0", owners[0].str()));
        CHECK(choice.delays().size() == 0);
    }
    SECTION("the second owner runs its part of its own requests without a message, and not if it is slower")
    {
        group_choice own(true);
        own.configure(fan_out.view_of(owners[1].str()));
        own.on_delay_report(owners[0], long_delay, start);
        const auto local_groups = [&](duration own_delay)
        {
            int local = 0;
            for (int i = 0; i < requests; ++i)
            {
                const auto groups = own.groups_of(fan_out.matched_route, start,
                                                  [&](const std::vector<std::size_t>&)
                                                  {
                                                      return own_delay;
                                                  });
                local += std::none_of(groups.begin(), groups.end(),
                                      [](const group_choice::group& item)
                                      {
                                          return item.shards.front() == 0;
                                      })
                             ? 1
                             : 0;
            }
            return local;
        };
        CHECK(local_groups(duration{}) == 75);
        CHECK(local_groups(long_delay) == 0);
    }
}
