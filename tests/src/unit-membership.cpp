#include <flaxtiller/quorum/membership_planner.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace flaxtiller;
using namespace flaxtiller::quorum;

namespace
{

const replica_name a("a");
const replica_name b("b");
const replica_name c("c");
const replica_name d("d");
const replica_name e("e");
const replica_name f("f");

const time_point now(duration::from_ms(100000));
const time_point doubtful = now - duration::from_ms(1500);
const time_point silent = now - duration::from_ms(4000);

/// What the leader a knows of a member set, and the changes that its planner wants.
class planned_set
{
  public:
    planned_set(const std::vector<replica_name>& voters, tolerated_losses tolerated)
    {
        m_options.tolerated = tolerated;
        for (const replica_name& name : voters)
        {
            members.members[name] = {name, 1, true};
            if (name != a)
            {
                others[name].last_contact = now;
                announced[name] = {1, now};
            }
        }
    }

    std::optional<member_change> next() const
    {
        return membership_planner(m_options).next({a, members, others, announced, places}, now);
    }

    void fall_silent(const replica_name& name, time_point last_contact = silent)
    {
        others[name].last_contact = last_contact;
        announced.erase(name);
    }

    /// The replica's disk is kept unless another incarnation is given.
    void come_back(const replica_name& name, incarnation_id incarnation = 1)
    {
        announced[name] = {incarnation, now};
        if (members.members.count(name) > 0)
        {
            others[name].last_contact = now;
        }
    }

    /// Carries out changes and promotes reachable learners until nothing is left to do.
    /// @return the least number of voters meanwhile
    std::size_t mend()
    {
        std::size_t least = members.voters();
        constexpr int most_changes = 100;
        for (int i = 0; i < most_changes; ++i)
        {
            const auto change = next();
            if (!change)
            {
                return least;
            }
            carry_out(*change);
            least = std::min(least, members.voters());
            promote_learners();
        }
        FAIL("the planner never ends");
        return least;
    }

    void carry_out(const member_change& change)
    {
        if (change.operation == member_change::kind::remove)
        {
            members.members.erase(change.name);
            others.erase(change.name);
            return;
        }
        members.members[change.name] = {change.name, change.incarnation, false};
        others[change.name].last_contact = now;
    }

    void promote_learners()
    {
        for (auto& [name, item] : members.members)
        {
            item.voter = item.voter || others[name].last_contact == now;
        }
    }

    std::vector<replica_name> voters() const
    {
        std::vector<replica_name> names;
        for (const auto& [name, item] : members.members)
        {
            if (item.voter)
            {
                names.push_back(name);
            }
        }
        return names;
    }

    member_set members;
    std::map<replica_name, progress> others;
    std::map<replica_name, announcement> announced;
    std::map<replica_name, replica_place> places;

  private:
    membership_planner::options m_options;
};

member_change addition(const replica_name& name, incarnation_id incarnation = 1)
{
    return {member_change::kind::add, name, incarnation};
}

member_change removal(const replica_name& name)
{
    return {member_change::kind::remove, name, 0};
}

} // namespace

TEST_CASE("a leader repairs its member set", "[membership]")
{
    planned_set set({a, b, c}, {1, 0, 0});

    SECTION("a complete member set needs no change")
    {
        CHECK_FALSE(set.next());
    }
    SECTION("a replica that lost its disk is added as a learner under its new incarnation")
    {
        set.come_back(c, 33);
        CHECK(set.next() == addition(c, 33));
    }
    SECTION("a silent voter remains a member without a replacement")
    {
        set.fall_silent(c);
        CHECK_FALSE(set.next());
    }
    SECTION("a new replica is added as a learner and promoted first, then the silent voter is removed")
    {
        set.fall_silent(c);
        set.come_back(d, 4);
        CHECK(set.next() == addition(d, 4));
        set.carry_out(addition(d, 4));
        CHECK_FALSE(set.next());
        set.promote_learners();
        CHECK(set.next() == removal(c));
        set.carry_out(removal(c));
        CHECK_FALSE(set.next());
    }
    SECTION("a new replica waits while it isn't known whether a voter is lost")
    {
        set.fall_silent(c, doubtful);
        set.come_back(d, 4);
        CHECK_FALSE(set.next());
        set.come_back(c);
        CHECK(set.next() == addition(d, 4));
    }
    SECTION("a new replica doesn't wait where voters are missing")
    {
        set.carry_out(removal(b));
        set.announced.erase(b);
        set.fall_silent(c, doubtful);
        set.come_back(d, 4);
        CHECK(set.next() == addition(d, 4));
    }
    SECTION("a silent voter among four voters is removed")
    {
        set.members.members[d] = {d, 4, true};
        set.others[d].last_contact = now;
        set.fall_silent(c);
        CHECK(set.next() == removal(c));
    }
    SECTION("no voter is removed if the remaining voters have no reachable majority")
    {
        set.members.members[d] = {d, 4, true};
        set.fall_silent(b);
        set.fall_silent(c);
        set.fall_silent(d);
        CHECK_FALSE(set.next());
    }
    SECTION("an outdated announcement is ignored")
    {
        set.announced[d] = {4, silent};
        CHECK_FALSE(set.next());
    }
    SECTION("only one replica learns at a time, and a silent learner is replaced")
    {
        set.members.members[d] = {d, 4, false};
        set.others[d].last_contact = now;
        set.announced[e] = {5, now};
        CHECK_FALSE(set.next());
        set.others[d].last_contact = silent;
        CHECK(set.next() == addition(e, 5));
        set.announced.erase(e);
        CHECK(set.next() == removal(d));
    }
}

TEST_CASE("a member set never shrinks below the voters that outlast the tolerated losses", "[membership]")
{
    constexpr std::size_t least = 5;
    planned_set set({a, b, c, d, e, f}, {2, 0, 0});

    SECTION("two silent voters, of which one returns with its disk")
    {
        set.fall_silent(e);
        set.fall_silent(f);
        CHECK(set.mend() == least);
        set.come_back(e);
        CHECK(set.mend() == least);
        CHECK(set.voters() == std::vector<replica_name>{a, b, c, d, e});
        set.come_back(f);
        CHECK(set.mend() == least);
        CHECK(set.voters().size() == 6);
    }
    SECTION("another voter falls silent when one has returned")
    {
        set.fall_silent(e);
        set.fall_silent(f);
        set.mend();
        set.come_back(e);
        set.fall_silent(d);
        CHECK(set.mend() == least);
        CHECK(set.voters() == std::vector<replica_name>{a, b, c, e, f});
    }
    SECTION("a silent voter stays while two replicas without disks learn")
    {
        set.come_back(e, 55);
        set.carry_out(set.next().value());
        set.come_back(f, 66);
        set.carry_out(set.next().value());
        set.fall_silent(d);
        CHECK_FALSE(set.next());
        set.promote_learners();
        CHECK(set.next() == removal(d));
    }
    SECTION("replicas that are lost for good are replaced one after the other")
    {
        set.fall_silent(e);
        set.fall_silent(f);
        set.come_back(replica_name("g"));
        set.come_back(replica_name("h"));
        CHECK(set.mend() == least);
        CHECK(set.voters() == std::vector<replica_name>{a, b, c, d, replica_name("g"), replica_name("h")});
    }
}

TEST_CASE("a member set that is too small for the tolerated losses outlasts as many as it can",
          "[membership]")
{
    planned_set set({a, b, c}, {2, 0, 0});

    SECTION("its silent voter stays")
    {
        set.fall_silent(c);
        CHECK_FALSE(set.next());
    }
    SECTION("a replica that is lost for good leaves once another one votes in its place")
    {
        set.fall_silent(c);
        set.come_back(d);
        CHECK(set.mend() == 3);
        CHECK(set.voters() == std::vector<replica_name>{a, b, d});
    }
    SECTION("a silent voter stays while replicas without disks learn")
    {
        set.members.members[d] = {d, 1, false};
        set.members.members[e] = {e, 1, true};
        set.others[d].last_contact = now;
        set.others[e].last_contact = now;
        set.fall_silent(c);
        CHECK_FALSE(set.next());
    }
}

TEST_CASE("a member set keeps voters in more than the places that may be lost at once", "[membership]")
{
    const auto placed = [](planned_set& set, const std::map<replica_name, std::string>& regions)
    {
        for (const auto& [name, region] : regions)
        {
            set.places[name] = {"zone of " + name.str(), region};
        }
    };
    planned_set six({a, b, c, d, e, f}, {1, 1, 1});
    placed(six, {{a, "north"}, {b, "north"}, {c, "east"}, {d, "east"}, {e, "south"}, {f, "south"}});

    SECTION("a silent voter is removed if the others outlast the loss of each region")
    {
        six.fall_silent(f);
        CHECK(six.next() == removal(f));
    }
    SECTION("a silent voter stays if the others wouldn't outlast the loss of a region")
    {
        planned_set five({a, b, c, d, e}, {1, 0, 1});
        placed(five, {{a, "north"}, {b, "north"}, {c, "east"}, {d, "east"}, {e, "south"}});
        five.fall_silent(e);
        CHECK_FALSE(five.next());
    }
    SECTION("a silent voter stays while the places of others aren't known")
    {
        six.places.erase(d);
        six.fall_silent(f);
        CHECK_FALSE(six.next());
    }
    SECTION("a silent voter of a set that can't outlast the loss of a region anyway is removed")
    {
        six.places[c].region = "north";
        six.fall_silent(f);
        CHECK(six.next() == removal(f));
    }
}
