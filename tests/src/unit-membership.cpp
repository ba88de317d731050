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

TEST_CASE("a leader mends its member set", "[membership]")
{
    const membership_planner keeper({});
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
        return keeper.next(a, members, others, announced, now);
    };

    SECTION("nothing to do")
    {
        CHECK_FALSE(next());
    }
    SECTION("a wiped replica learns anew under its new incarnation")
    {
        announced[c] = {33, now};
        CHECK(next() == member_change{member_change::kind::add, c, 33});
    }
    SECTION("a lost voter stays as long as nobody can replace it")
    {
        others[c].last_contact = silent;
        announced.erase(c);
        CHECK_FALSE(next());
    }
    SECTION("a newcomer replaces a lost voter: first that one leaves, then the newcomer learns")
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
    SECTION("a newcomer that was promoted before the loss was noticed: the lost one leaves four voters")
    {
        members.members[d] = {d, 4, true};
        others[d].last_contact = now;
        others[c].last_contact = silent;
        announced.erase(c);
        CHECK(next() == member_change{member_change::kind::remove, c, 0});
    }
    SECTION("nobody leaves where the rest wouldn't be a majority of their own")
    {
        others[b].last_contact = silent;
        others[c].last_contact = silent;
        announced = {{d, {4, now}}};
        CHECK(next() == member_change{member_change::kind::add, d, 4});
    }
    SECTION("a newcomer whose word is old isn't there any more")
    {
        announced[d] = {4, silent};
        CHECK_FALSE(next());
    }
    SECTION("one newcomer at a time, and a learner that died makes room")
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
