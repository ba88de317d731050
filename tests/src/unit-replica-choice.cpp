#include <flaxtiller/distribution/replica_choice.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using flaxtiller::distribution::replica_choice;
using distance_away = replica_choice::distance;

namespace
{

const std::vector<replica_choice::candidate> all = {
    {"elsewhere", distance_away::far}, {"next", distance_away::in_region}, {"near", distance_away::in_zone}};
const std::vector<replica_choice::candidate> none_near = {{"elsewhere", distance_away::far},
                                                          {"next", distance_away::in_region}};
const duration tick = duration::from_ms(1);

} // namespace

TEST_CASE("an instance follows the nearest replica that doesn't lag", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    replica_choice choice;

    SECTION("one that starts waits a moment for its own zone's replica")
    {
        CHECK(choice.choose(none_near, "", false, now).empty());
        CHECK(choice.choose(none_near, "", false, now + replica_choice::near_bound - tick).empty());
        CHECK(choice.choose(all, "", false, now + replica_choice::near_bound - tick) == "near");
    }
    SECTION("but not for long")
    {
        CHECK(choice.choose({}, "", false, now).empty());
        now = now + duration::from_ms(5000);
        CHECK(choice.choose(none_near, "", false, now).empty());
        CHECK(choice.choose(none_near, "", false, now + replica_choice::near_bound) == "next");
    }
    SECTION("one that is lost is replaced at once, and followed again when it is back")
    {
        REQUIRE(choice.choose(all, "", true, now) == "near");
        CHECK(choice.choose(none_near, "", true, now) == "next");
        CHECK(choice.choose(all, "", true, now) == "near");
    }

    REQUIRE(choice.choose(all, "", true, now) == "near");
    choice.on_in_force(1);
    REQUIRE(choice.on_wanted(2, now));
    REQUIRE_FALSE(choice.on_wanted(2, now));

    SECTION("one that lags is left for a while")
    {
        choice.on_word("near", 1);
        CHECK(choice.choose(all, "", true, now + replica_choice::lag_bound - tick) == "near");
        CHECK(choice.choose(all, "", true, now + replica_choice::lag_bound) == "next");
        choice.on_in_force(2);
        now = now + replica_choice::lag_bound;
        CHECK(choice.choose(all, "", true, now + replica_choice::passed_over_for - tick) == "next");
        CHECK(choice.choose(all, "", true, now + replica_choice::passed_over_for) == "near");
    }
    SECTION("one that is only busy sending is waited for")
    {
        choice.on_word("near", 2);
        CHECK(choice.choose(all, "", true, now + replica_choice::transfer_bound - tick) == "near");
        CHECK(choice.choose(all, "", true, now + replica_choice::transfer_bound) == "next");
    }
    SECTION("a revision that took long to come is no reason to leave once it is there")
    {
        choice.on_in_force(2);
        CHECK(choice.choose(all, "", true, now + duration::from_ms(5000)) == "near");
    }
    SECTION("an instance that serves nobody yet waits less")
    {
        CHECK(choice.choose(all, "", false, now + replica_choice::first_lag_bound) == "next");
    }
    SECTION("where all lag, the leader is followed")
    {
        for (int i = 0; i < 3; ++i)
        {
            now = now + replica_choice::lag_bound;
            (void)choice.choose(all, "leader", true, now);
        }
        CHECK(choice.followed() == "leader");
    }
}
