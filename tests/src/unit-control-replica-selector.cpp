#include <flaxtiller/distribution/control_replica_selector.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using flaxtiller::distribution::control_replica_selector;
using distance_away = control_replica_selector::distance;

namespace
{

const std::vector<control_replica_selector::candidate> all = {{"elsewhere", distance_away::other_region},
                                                              {"next", distance_away::in_region},
                                                              {"near", distance_away::in_zone}};
const std::vector<control_replica_selector::candidate> all_but_own_zone = {
    {"elsewhere", distance_away::other_region}, {"next", distance_away::in_region}};
const duration tick = duration::from_ms(1);

} // namespace

TEST_CASE("an instance follows the nearest replica that does not lag", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    control_replica_selector selector;

    SECTION("after a start an instance waits for the replica in its own zone")
    {
        CHECK(selector.choose(all_but_own_zone, "", false, now).empty());
        CHECK(
            selector.choose(all_but_own_zone, "", false, now + control_replica_selector::own_zone_wait - tick)
                .empty());
        CHECK(selector.choose(all, "", false, now + control_replica_selector::own_zone_wait - tick) ==
              "near");
    }
    SECTION("after the wait an instance follows a replica in another zone")
    {
        CHECK(selector.choose({}, "", false, now).empty());
        now = now + duration::from_ms(5000);
        CHECK(selector.choose(all_but_own_zone, "", false, now).empty());
        CHECK(selector.choose(all_but_own_zone, "", false, now + control_replica_selector::own_zone_wait) ==
              "next");
    }
    SECTION("a lost replica is replaced at once, and followed again when it returns")
    {
        REQUIRE(selector.choose(all, "", true, now) == "near");
        CHECK(selector.choose(all_but_own_zone, "", true, now) == "next");
        CHECK(selector.choose(all, "", true, now) == "near");
    }

    REQUIRE(selector.choose(all, "", true, now) == "near");
    selector.on_activated(1);
    REQUIRE(selector.on_current_revision(2, now));
    REQUIRE_FALSE(selector.on_current_revision(2, now));

    SECTION("a replica that lags is excluded for a time")
    {
        selector.on_word("near", 1, true);
        CHECK(selector.choose(all, "", true, now + control_replica_selector::max_lag - tick) == "near");
        CHECK(selector.choose(all, "", true, now + control_replica_selector::max_lag) == "next");
        selector.on_activated(2);
        now = now + control_replica_selector::max_lag;
        selector.on_word("near", 2, true);
        CHECK(selector.choose(all, "", true, now + control_replica_selector::lagging_exclusion_time - tick) ==
              "next");
        CHECK(selector.choose(all, "", true, now + control_replica_selector::lagging_exclusion_time) ==
              "near");
    }
    // Guards against the return to a replica that is still cut off from the others.
    SECTION("a replica that lags is followed again only once it has caught up and knows a leader")
    {
        selector.on_word("near", 1, true);
        now = now + control_replica_selector::max_lag;
        REQUIRE(selector.choose(all, "", true, now) == "next");
        selector.on_activated(2);
        now = now + control_replica_selector::lagging_exclusion_time;
        CHECK(selector.choose(all, "", true, now) == "next");
        CHECK(selector.is_excluded("near"));
        selector.on_word("near", 1, true);
        CHECK(selector.choose(all, "", true, now) == "next");
        selector.on_word("near", 2, false);
        CHECK(selector.choose(all, "", true, now) == "next");
        selector.on_word("near", 2, true);
        CHECK(selector.choose(all, "", true, now) == "near");
        CHECK_FALSE(selector.is_excluded("near"));
    }
    SECTION(
        "a followed replica that names no leader is left while a leader confirms, and followed again later")
    {
        selector.on_activated(2);
        for (int i = 0; i < control_replica_selector::max_leaderless_answers; ++i)
        {
            CHECK(selector.choose(all, "", true, now) == "near");
            selector.on_current_revision(2, now);
            selector.on_word("near", 2, false);
        }
        CHECK(selector.choose(all, "", true, now) == "next");
        selector.on_word("near", 2, true);
        CHECK(selector.choose(all, "", true, now) == "near");
    }
    SECTION("no replica is left while there is no leader at all")
    {
        selector.on_activated(2);
        for (int i = 0; i < 10; ++i)
        {
            selector.on_word("near", 2, false);
            CHECK(selector.choose(all, "", true, now) == "near");
        }
    }
    // Guards against an instance that checks for a lag only with its next report.
    SECTION("the check is due when the replica counts as lagging")
    {
        selector.on_word("near", 1, true);
        CHECK(selector.next_check(true, now) == now + control_replica_selector::max_lag);
        selector.on_word("near", 2, true);
        CHECK(selector.next_check(true, now) == now + control_replica_selector::max_transfer_time);
        selector.on_activated(2);
        CHECK(selector.next_check(true, now) == time_point::never());
    }
    SECTION("the bound of changes limits the times")
    {
        control_replica_selector bounded(duration::from_ms(1000));
        REQUIRE(bounded.choose(all, "", true, now) == "near");
        bounded.on_activated(1);
        bounded.on_current_revision(2, now);
        CHECK(bounded.next_check(true, now) == now + duration::from_ms(300));
        bounded.on_word("near", 2, true);
        CHECK(bounded.next_check(true, now) == now + duration::from_ms(600));
    }
    SECTION("a replica that has the revision gets more time to send it")
    {
        selector.on_word("near", 2, true);
        CHECK(selector.choose(all, "", true, now + control_replica_selector::max_transfer_time - tick) ==
              "near");
        CHECK(selector.choose(all, "", true, now + control_replica_selector::max_transfer_time) == "next");
    }
    SECTION("a replica is not left once its revision has arrived, even if it was slow")
    {
        selector.on_activated(2);
        CHECK(selector.choose(all, "", true, now + duration::from_ms(5000)) == "near");
    }
    SECTION("an instance that does not serve callers yet waits less")
    {
        CHECK(selector.choose(all, "", false, now + control_replica_selector::max_lag_before_serving) ==
              "next");
    }
    SECTION("if all replicas lag, the leader is followed")
    {
        for (int i = 0; i < 3; ++i)
        {
            now = now + control_replica_selector::max_lag;
            (void)selector.choose(all, "leader", true, now);
        }
        CHECK(selector.followed() == "leader");
    }
}

TEST_CASE("a replica whose link was lost", "[distribution]")
{
    time_point now(duration::from_ms(1000));
    control_replica_selector selector;
    REQUIRE(selector.choose(all, "", true, now) == "near");
    selector.on_lost("near", now);

    SECTION("is followed on if it answers on a new link in time")
    {
        CHECK(selector.choose(all_but_own_zone, "", true, now) == "near");
        CHECK(selector.next_check(true, now) == now + control_replica_selector::link_renewal_time);
        selector.on_word("near", 0, true);
        CHECK(selector.choose(all, "", true, now + control_replica_selector::link_renewal_time) == "near");
    }
    // Guards against following a replica that accepts links but stands still, for example at its disk.
    SECTION("is left if it doesn't answer, and followed again once it has answered")
    {
        now = now + control_replica_selector::link_renewal_time;
        CHECK(selector.choose(all, "", true, now) == "next");
        CHECK(selector.choose(all, "", true, now + duration::from_ms(60000)) == "next");
        selector.on_word("near", 0, true);
        CHECK(selector.choose(all, "", true, now) == "near");
    }
    SECTION("doesn't leave the instance without a replica to follow")
    {
        now = now + control_replica_selector::link_renewal_time;
        CHECK(selector.choose({{"near", distance_away::in_zone}}, "leader", true, now) == "leader");
    }
}
