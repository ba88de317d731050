// Losses that overlap, while no more disks are lost at once than must be tolerated.

#include "losses_play.hpp"

#include <catch2/catch.hpp>

using flaxtiller::test::losses_play;

namespace
{

constexpr std::uint64_t seeds = 15;
constexpr int rounds = 4;

/// @return the first thing that went wrong in a play, or an empty string
std::string play(losses_play::parameters chosen)
{
    losses_play session(chosen);
    for (int round = 0; round < rounds; ++round)
    {
        const std::string lost = session.play_until_power_is_lost();
        const std::string failure = lost.empty() ? session.catch_up() : lost;
        if (!failure.empty())
        {
            return "seed " + std::to_string(chosen.seed) + ", round " + std::to_string(round) + ": " +
                   failure;
        }
    }
    CHECK(session.acknowledged() > 100);
    return {};
}

void check_plays(losses_play::parameters chosen)
{
    for (chosen.seed = 1; chosen.seed <= seeds; ++chosen.seed)
    {
        const std::string failure = play(chosen);
        INFO(failure);
        REQUIRE(failure.empty());
    }
}

} // namespace

TEST_CASE("a leader with all acknowledged entries returns after overlapping losses", "[schedules]")
{
    losses_play::parameters chosen;

    SECTION("six replicas, two disks")
    {
        check_plays(chosen);
    }
    SECTION("five replicas, two disks")
    {
        chosen.replicas = 5;
        check_plays(chosen);
    }
    SECTION("seven replicas, two disks")
    {
        chosen.replicas = 7;
        check_plays(chosen);
    }
    SECTION("three replicas, one disk")
    {
        chosen.replicas = 3;
        chosen.lost_disks = 1;
        chosen.planned_for = 1;
        check_plays(chosen);
    }
    SECTION("three replicas, one disk, and a planner that should tolerate two")
    {
        chosen.replicas = 3;
        chosen.lost_disks = 1;
        check_plays(chosen);
    }
    SECTION("four replicas, one disk")
    {
        chosen.replicas = 4;
        chosen.lost_disks = 1;
        chosen.planned_for = 1;
        check_plays(chosen);
    }
    SECTION("six replicas with slow disks")
    {
        chosen.sync_ms = 60;
        check_plays(chosen);
    }
}

TEST_CASE("plays of overlapping losses find a planner that lets the member set shrink", "[schedules]")
{
    constexpr std::uint64_t most_seeds = 60;
    losses_play::parameters chosen;
    chosen.planned_for = 0;
    bool found = false;
    for (chosen.seed = 1; chosen.seed <= most_seeds && !found; ++chosen.seed)
    {
        found = !play(chosen).empty();
    }
    CHECK(found);
}
