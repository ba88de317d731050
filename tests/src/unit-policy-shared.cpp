// What callers get where several entries share pairs of replicas, as regression bounds: plays in virtual
// time, the same figures on every machine.

#include "shared_replicas.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller::bench;

namespace
{

/// Nearly nine tenths of what one replica of each pair carries alone.
constexpr double fan_outs_a_second = 105.0;
constexpr double warm_up_ms = 10000.0;
constexpr double trouble_ms = 9000.0;
/// Replicas are in trouble in this many of the shards where not in all: more than a wide answer may miss.
constexpr int some_shards = 7;

/// What callers got over several plays.
struct result
{
    route_tally wide;
    route_tally urgent;

    void add(shared_replicas& play)
    {
        for (auto [into, name] : {std::pair(&wide, "wide"), std::pair(&urgent, "urgent")})
        {
            const route_tally& tally = play.tally(name);
            into->asked += tally.asked;
            into->late += tally.late;
            into->failed += tally.failed;
            into->worth += tally.worth;
        }
    }
};

/// Entries get to know their replicas; then one replica of each of the first @a shards shards meets @a
/// trouble.
template <typename Trouble>
result play_trouble(int shards, Trouble trouble)
{
    result sum;
    for (const std::uint64_t seed : {1, 2, 3, 4})
    {
        shared_replicas play(seed, fan_outs_a_second);
        play.play(warm_up_ms);
        play.start_counting();
        for (int shard = 0; shard < shards; ++shard)
        {
            trouble(play.replica(shard, 0));
        }
        play.play(trouble_ms);
        sum.add(play);
    }
    return sum;
}

} // namespace

TEST_CASE("entries that share sound replicas answer in time", "[policy]")
{
    const result got = play_trouble(0, [](shared_replica&) {});
    CHECK(got.wide.worth_share() >= 0.985);
    CHECK(got.urgent.worth_share() >= 0.985);
    CHECK(got.wide.failed + got.urgent.failed == 0);
}

TEST_CASE("one replica of each pair refuses three of five attempts", "[policy]")
{
    const result got = play_trouble(shared_replicas::shards,
                                    [](shared_replica& server)
                                    {
                                        server.refuses = 0.6;
                                    });
    CAPTURE(got.wide.worth_share(), got.urgent.worth_share(), got.wide.failed);
    // Before the allowance counted in the choice: 0.955 and 0.937, and 43 failed; now 0.992, 0.977 and none.
    CHECK(got.wide.worth_share() >= 0.98);
    CHECK(got.urgent.worth_share() >= 0.96);
    CHECK(got.wide.failed + got.urgent.failed <= 2);
}

TEST_CASE("one replica of some pairs is seven times slower", "[policy]")
{
    const result got = play_trouble(some_shards,
                                    [](shared_replica& server)
                                    {
                                        server.factor = 7.0;
                                    });
    CAPTURE(got.wide.worth_share(), got.urgent.worth_share(), got.wide.late);
    // Before replacing in place ended and lateness followed the route: 0.908 and 0.902; now 0.917 and 0.932.
    CHECK(got.wide.worth_share() >= 0.905);
    CHECK(got.urgent.worth_share() >= 0.92);
    CHECK(got.wide.failed + got.urgent.failed == 0);
}

TEST_CASE("one replica of some pairs takes no connections", "[policy]")
{
    const result got = play_trouble(some_shards,
                                    [](shared_replica& server)
                                    {
                                        server.reachable = false;
                                    });
    CAPTURE(got.wide.worth_share(), got.urgent.worth_share(), got.wide.late);
    // Nine fan-outs failed before attempts that couldn't connect were free; none does now.
    CHECK(got.wide.worth_share() >= 0.965);
    CHECK(got.urgent.worth_share() >= 0.90);
    CHECK(got.wide.failed + got.urgent.failed == 0);
}
