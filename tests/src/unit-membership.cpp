#include <flaxtiller/quorum/membership_planner.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::quorum;

namespace
{

const replica_name a("a");
const replica_name b("b");
const replica_name c("c");
const replica_name d("d");

} // namespace

TEST_CASE("a leader repairs its member set", "[membership]")
{
    const membership_planner planner({});
    const time_point now(duration::from_ms(100000));
    const time_point silent = now - duration::from_ms(4000);
    member_set members;
    members.members[a] = {a, 1, true};
    members.members[b] = {b, 2, true};
    members.members[c] = {c, 3, true};
    std::map<replica_name, progress> others;
    others[b].last_contact = now;
    others[c].last_contact = now;
    std::map<replica_name, announcement> announced{{b, {2, now}}, {c, {3, now}}};
    const auto next = [&]
    {
        return planner.next(a, members, others, announced, now);
    };

    SECTION("a complete member set needs no change")
    {
        CHECK_FALSE(next());
    }
    SECTION("a replica that lost its disk is added as a learner under its new incarnation")
    {
        announced[c] = {33, now};
        CHECK(next() == member_change{member_change::kind::add, c, 33});
    }
    SECTION("a silent voter remains a member without a replacement")
    {
        others[c].last_contact = silent;
        announced.erase(c);
        CHECK_FALSE(next());
    }
    SECTION("a silent voter is removed first, then the new replica is added as a learner")
    {
        others[c].last_contact = silent;
        announced.erase(c);
        announced[d] = {4, now};
        CHECK(next() == member_change{member_change::kind::remove, c, 0});
        members.members.erase(c);
        CHECK(next() == member_change{member_change::kind::add, d, 4});
        members.members[d] = {d, 4, false};
        others[d].last_contact = now;
        CHECK_FALSE(next());
    }
    SECTION("a silent voter among four voters is removed")
    {
        members.members[d] = {d, 4, true};
        others[d].last_contact = now;
        others[c].last_contact = silent;
        announced.erase(c);
        CHECK(next() == member_change{member_change::kind::remove, c, 0});
    }
    SECTION("no voter is removed if the remaining voters have no reachable majority")
    {
        others[b].last_contact = silent;
        others[c].last_contact = silent;
        announced = {{d, {4, now}}};
        CHECK(next() == member_change{member_change::kind::add, d, 4});
    }
    SECTION("an outdated announcement is ignored")
    {
        announced[d] = {4, silent};
        CHECK_FALSE(next());
    }
    SECTION("only one replica learns at a time, and a silent learner is replaced")
    {
        members.members[d] = {d, 4, false};
        others[d].last_contact = now;
        announced[replica_name("e")] = {5, now};
        CHECK_FALSE(next());
        others[d].last_contact = silent;
        CHECK(next() == member_change{member_change::kind::add, replica_name("e"), 5});
        announced.erase(replica_name("e"));
        CHECK(next() == member_change{member_change::kind::remove, d, 0});
    }
}
