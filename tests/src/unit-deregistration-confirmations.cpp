#include <flaxtiller/registration/deregistration_confirmations.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

const backend_server_name leaver("a");

quorum::member_set members_of(const std::vector<std::string>& voters)
{
    quorum::member_set members;
    for (const std::string& voter : voters)
    {
        const quorum::replica_name name(voter);
        members.members[name] = quorum::member{name, 1, true};
    }
    return members;
}

} // namespace

TEST_CASE("a deregistration isn't confirmed before a majority of the replicas has saved it", "[registration]")
{
    time_point now(duration::from_ms(1000));
    deregistration_confirmations pending("c1", 100);
    const std::set<std::string> both{"c2", "c3"};
    const deregistration_number number = pending.begin(leaver, members_of({"c1", "c2", "c3"}), now);

    SECTION("with this replica and one other it is")
    {
        pending.on_saved(number, "c1");
        CHECK(pending.take_decisions(both, now).empty());
        now = now + duration::from_ms(3);
        pending.on_saved(number, "c3");
        const auto decisions = pending.take_decisions(both, now);
        REQUIRE(decisions.size() == 1);
        CHECK(decisions[0].is_confirmed);
        CHECK(decisions[0].id == leaver);
        CHECK(decisions[0].saved_by == std::set<std::string>{"c1", "c3"});
        CHECK(decisions[0].took == duration::from_ms(3));
        CHECK(pending.empty());
    }
    SECTION("without this replica, whose disk hangs, the two others are enough")
    {
        pending.on_saved(number, "c2");
        pending.on_saved(number, "c3");
        CHECK(pending.take_decisions(both, now).at(0).is_confirmed);
    }
    SECTION("a replica that answers twice, a process that doesn't vote, and another number don't count")
    {
        pending.on_saved(number, "c2");
        pending.on_saved(number, "c2");
        pending.on_saved(number, "learner");
        pending.on_saved(number + 1, "c1");
        CHECK(pending.take_decisions(both, now).empty());
    }
    SECTION("it is refused in time if replicas, such as those of older builds, don't answer")
    {
        pending.on_saved(number, "c1");
        now = now + deregistration_confirmations::time_limit;
        const auto decisions = pending.take_decisions(both, now);
        REQUIRE(decisions.size() == 1);
        CHECK_FALSE(decisions[0].is_confirmed);
        CHECK(pending.empty());
    }
    SECTION("it is refused at once if too few replicas can be reached")
    {
        pending.on_saved(number, "c1");
        CHECK_FALSE(pending.take_decisions({}, now).at(0).is_confirmed);
    }
    SECTION("a replica that answered before its link broke counts")
    {
        pending.on_saved(number, "c2");
        CHECK(pending.take_decisions({}, now).empty());
        pending.on_saved(number, "c1");
        CHECK(pending.take_decisions({}, now).at(0).is_confirmed);
    }
    SECTION("a replica that knows no members refuses")
    {
        deregistration_confirmations outside("c4", 1);
        outside.begin(leaver, {}, now);
        CHECK_FALSE(outside.take_decisions(both, now).at(0).is_confirmed);
    }
    SECTION("a replica without others confirms alone")
    {
        deregistration_confirmations alone("c1", 1);
        const deregistration_number own = alone.begin(leaver, members_of({"c1"}), now);
        CHECK(alone.take_decisions({}, now).empty());
        alone.on_saved(own, "c1");
        CHECK(alone.take_decisions({}, now).at(0).is_confirmed);
    }
}
