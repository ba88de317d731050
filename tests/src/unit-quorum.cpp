// Rules of the replicated log that seeded schedules reach too seldom, each driven by hand.

#include <flaxtiller/quorum/message_codec.hpp>
#include <flaxtiller/quorum/replica.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::quorum;

namespace
{

const replica_name c1("c1");
const replica_name c2("c2");
const replica_name c3("c3");

persisted_state three_members(std::vector<log_entry> entries = {})
{
    persisted_state stored;
    stored.base.last_index = 1;
    stored.base.last_term = 1;
    stored.base.members.members = {{c1, {c1, 11, true}}, {c2, {c2, 12, true}}, {c3, {c3, 13, true}}};
    stored.hard.term = entries.empty() ? 1 : entries.back().term;
    stored.hard.known_commit = 1;
    stored.entries = std::move(entries);
    return stored;
}

log_entry command_at(log_index index, term_number term)
{
    log_entry entry;
    entry.index = index;
    entry.term = term;
    entry.command = "command";
    return entry;
}

/// One replica, c1, and what it says.
struct driver
{
    explicit driver(const persisted_state& stored) : node(c1, 11, timing{}, stored, 5, now)
    {
    }

    void pass(double ms)
    {
        now = now + duration::from_ms(ms);
        node.tick(now);
        pump();
    }

    void hear(const replica_name& from, incarnation_id incarnation, term_number term, message_body body)
    {
        node.receive({from, incarnation, c1, 11, term, std::move(body)}, now);
        pump();
    }

    void pump()
    {
        output wanted = node.take_output();
        if (wanted.must_sync())
        {
            node.on_synced();
        }
        for (const auto* list : {&wanted.send_now, &wanted.send_after_sync})
        {
            said.insert(said.end(), list->begin(), list->end());
        }
        const output more = node.take_output();
        said.insert(said.end(), more.send_now.begin(), more.send_now.end());
    }

    template <typename Body>
    const Body* last_said() const
    {
        for (auto item = said.rbegin(); item != said.rend(); ++item)
        {
            if (const auto* body = std::get_if<Body>(&item->body))
            {
                return body;
            }
        }
        return nullptr;
    }

    void lead()
    {
        pass(1001);
        hear(c2, 12, node.term() + 1, vote_reply{true, true});
        hear(c2, 12, node.term(), vote_reply{false, true});
        REQUIRE(node.role() == role::leader);
    }

    time_point now{duration::from_ms(10000)};
    replica node;
    std::vector<message> said;
};

} // namespace

TEST_CASE("elections", "[quorum]")
{
    driver follower(three_members());

    SECTION("who heard from a leader just now gives no vote, whatever the term")
    {
        follower.hear(c2, 12, 1, append_request{1, 1, 1, 7, {}});
        follower.pass(400);
        follower.hear(c3, 13, 9, vote_request{false, 50, 8});
        REQUIRE(follower.last_said<vote_reply>() != nullptr);
        CHECK_FALSE(follower.last_said<vote_reply>()->granted);
        CHECK(follower.node.term() == 1);
        follower.pass(101);
        follower.hear(c3, 13, 9, vote_request{false, 50, 8});
        CHECK(follower.last_said<vote_reply>()->granted);
    }

    SECTION("a restarted replica may have heard from one just before it stopped")
    {
        follower.hear(c3, 13, 9, vote_request{false, 50, 8});
        CHECK_FALSE(follower.last_said<vote_reply>()->granted);
    }

    SECTION("the vote of a wiped replica doesn't count")
    {
        follower.pass(1001);
        follower.hear(c2, 99, 2, vote_reply{true, true});
        CHECK(follower.node.role() == role::pre_candidate);
        follower.hear(c2, 12, 2, vote_reply{true, true});
        CHECK(follower.node.role() == role::candidate);
        follower.hear(c3, 99, 2, vote_reply{false, true});
        CHECK(follower.node.role() == role::candidate);
        follower.hear(c3, 13, 2, vote_reply{false, true});
        CHECK(follower.node.role() == role::leader);
    }

    SECTION("a wiped replica, which knows no members, never stands for election")
    {
        driver wiped{persisted_state{}};
        wiped.pass(5000);
        CHECK(wiped.said.empty());
        CHECK(wiped.node.role() == role::follower);
    }

    SECTION("who knows of a longer committed log gives no vote to a shorter one put back from a backup")
    {
        persisted_state stored = three_members();
        stored.hard.known_commit = 40;
        driver knows(stored);
        knows.pass(600);
        knows.hear(c3, 13, 9, vote_request{false, 39, 8});
        CHECK_FALSE(knows.last_said<vote_reply>()->granted);
        knows.hear(c3, 13, 10, vote_request{false, 40, 8});
        CHECK(knows.last_said<vote_reply>()->granted);
    }
}

TEST_CASE("restarted voters stand one after the other", "[quorum]")
{
    // Six voters, of which this one is the first or the last.
    const auto stands_after = [](const char* others)
    {
        persisted_state stored = three_members();
        member_set& set = stored.base.members;
        set.members = {{c1, {c1, 11, true}}};
        for (int i = 2; i <= 6; ++i)
        {
            const replica_name name(others + std::to_string(i));
            set.members[name] = {name, static_cast<incarnation_id>(10 + i), true};
        }
        driver restarted(stored);
        restarted.pass(1);
        const std::uint64_t replica_run = restarted.last_said<leadership_query>()->replica_run;
        for (int i = 2; i <= 6; ++i)
        {
            restarted.hear(replica_name(others + std::to_string(i)), static_cast<incarnation_id>(10 + i), 1,
                           leadership_reply{replica_run, false, restarted.node.members()});
        }
        double waited = 0.0;
        while (restarted.node.role() == role::follower && waited < 1000.0)
        {
            restarted.pass(1);
            waited += 1.0;
        }
        return waited;
    };
    const double turn = timing{}.early_election_spread.ms() / 6.0;
    CHECK(stands_after("c") <= turn * 0.25 + 1.0);
    const double last = stands_after("a");
    CHECK(last >= turn * 5.0);
    CHECK(last <= timing{}.early_election_spread.ms() + 1.0);
}

TEST_CASE("a restarted replica's wait for an earlier lease", "[quorum]")
{
    driver restarted(three_members());
    const member_set members = restarted.node.members();
    const auto ask = [&]
    {
        restarted.pass(1);
        REQUIRE(restarted.last_said<leadership_query>() != nullptr);
        return restarted.last_said<leadership_query>()->replica_run;
    };
    const auto votes = [&]
    {
        restarted.hear(c3, 13, 9, vote_request{false, 50, 8});
        return restarted.last_said<vote_reply>()->granted;
    };
    const std::uint64_t replica_run = ask();

    SECTION("ends, and it stands for election soon, once no other voter leads")
    {
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
        CHECK_FALSE(votes());
        restarted.hear(c3, 13, 1, leadership_reply{replica_run, false, members});
        restarted.pass(timing{}.early_election_spread.ms());
        CHECK(restarted.node.role() == role::pre_candidate);
        CHECK(votes());
    }

    SECTION("ends earlier than the others', which refuse their votes: it soon stands again")
    {
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.hear(c3, 13, 1, leadership_reply{replica_run, false, members});
        restarted.pass(timing{}.early_election_spread.ms());
        restarted.hear(c2, 12, 1, vote_reply{true, false});
        restarted.hear(c3, 13, 1, vote_reply{true, false});
        restarted.said.clear();
        restarted.pass(timing{}.leadership_query_interval.ms() + timing{}.early_election_spread.ms());
        CHECK(restarted.last_said<vote_request>() != nullptr);
        SECTION("and not for long")
        {
            restarted.pass(timing{}.election_min.ms());
            restarted.pass(timing{}.early_election_spread.ms() + timing{}.leadership_query_interval.ms());
            restarted.said.clear();
            restarted.pass(timing{}.election_min.ms() - 1);
            CHECK(restarted.last_said<vote_request>() == nullptr);
        }
    }

    SECTION("lasts while a voter is silent, and that one alone is asked again")
    {
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.said.clear();
        restarted.pass(timing{}.leadership_query_interval.ms());
        REQUIRE(restarted.said.size() == 1);
        CHECK(restarted.said[0].to == c3);
        CHECK_FALSE(votes());
    }

    SECTION("lasts while a voter leads")
    {
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.hear(c3, 13, 1, leadership_reply{replica_run, true, members});
        CHECK_FALSE(votes());
        CHECK(restarted.node.role() == role::follower);
    }

    SECTION("isn't ended by answers to an earlier life")
    {
        restarted.hear(c2, 12, 1, leadership_reply{replica_run + 1, false, members});
        restarted.hear(c3, 13, 1, leadership_reply{replica_run + 1, false, members});
        CHECK_FALSE(votes());
    }

    SECTION("a wiped voter doesn't lead, but knows nothing of members")
    {
        restarted.hear(c3, 99, 0, leadership_reply{replica_run, false, {}});
        CHECK_FALSE(votes());
        SECTION("the others' word suffices")
        {
            restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
            CHECK(votes());
        }
        SECTION("two of them leave nobody who knows")
        {
            restarted.hear(c2, 98, 0, leadership_reply{replica_run, false, {}});
            CHECK_FALSE(votes());
        }
    }

    SECTION("lasts where the others know of another voter, which may lead")
    {
        member_set more = members;
        more.members.emplace(replica_name("c4"), member{replica_name("c4"), 14, true});
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, more});
        restarted.hear(c3, 13, 1, leadership_reply{replica_run, false, more});
        CHECK_FALSE(votes());
    }

    SECTION("starts anew once it heard a leader in this life")
    {
        restarted.hear(c2, 12, 1, append_request{1, 1, 1, 7, {}});
        restarted.hear(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.hear(c3, 13, 1, leadership_reply{replica_run, false, members});
        CHECK_FALSE(votes());
    }

    SECTION("asking unseats no leader and starts no election")
    {
        driver leader(three_members());
        leader.lead();
        const term_number term = leader.node.term();
        leader.hear(c2, 12, term + 5, leadership_query{77});
        REQUIRE(leader.last_said<leadership_reply>() != nullptr);
        CHECK(leader.last_said<leadership_reply>()->leads);
        CHECK(leader.last_said<leadership_reply>()->replica_run == 77);
        CHECK(leader.node.role() == role::leader);
        CHECK(leader.node.term() == term);
    }
}

TEST_CASE("a leader that removes itself holds no lease", "[quorum]")
{
    driver leader(three_members());
    leader.lead();
    const auto hears = [&]
    {
        const std::int64_t sent_at = leader.now.since_start().us();
        const log_index last = leader.node.log().last_index();
        leader.hear(c2, 12, leader.node.term(), append_reply{true, last, sent_at});
    };
    hears();
    REQUIRE(leader.node.has_lease(leader.now));
    REQUIRE_FALSE(leader.node.remove_member(c1, leader.now));
    CHECK_FALSE(leader.node.has_lease(leader.now));
}

TEST_CASE("commitment", "[quorum]")
{
    driver leader(three_members({command_at(2, 2)}));
    leader.lead();
    REQUIRE(leader.node.log().last_index() == 3);

    SECTION("an entry of an earlier term isn't committed by counting, only along with one of this term")
    {
        leader.hear(c2, 12, leader.node.term(), append_reply{true, 2, 0});
        CHECK(leader.node.commit_index() == 1);
        leader.hear(c2, 12, leader.node.term(), append_reply{true, 3, 0});
        CHECK(leader.node.commit_index() == 3);
    }

    SECTION("a wiped replica's acknowledgement doesn't count")
    {
        leader.hear(c2, 99, leader.node.term(), append_reply{true, 3, 0});
        CHECK(leader.node.commit_index() == 1);
        CHECK(leader.node.non_members().at(c2) == 99);
    }
}

TEST_CASE("the lease", "[quorum]")
{
    driver leader(three_members());
    leader.lead();
    const auto acknowledge = [&]
    {
        leader.hear(c2, 12, leader.node.term(), append_reply{true, 2, leader.now.since_start().us()});
    };
    CHECK_FALSE(leader.node.has_lease(leader.now));
    acknowledge();
    CHECK(leader.node.has_lease(leader.now));

    SECTION("ends before any follower may vote, by more than the clocks can drift")
    {
        CHECK(leader.node.has_lease(leader.now + duration::from_ms(489)));
        CHECK_FALSE(leader.node.has_lease(leader.now + duration::from_ms(490)));
    }

    SECTION("isn't there any more when a frozen leader wakes, before it did anything")
    {
        leader.now = leader.now + duration::from_ms(60000);
        CHECK_FALSE(leader.node.has_lease(leader.now));
    }

    SECTION("counts from when a message was sent, not from when its answer came")
    {
        const auto sent = leader.now.since_start().us();
        leader.pass(300);
        leader.hear(c2, 12, leader.node.term(), append_reply{true, 2, sent});
        CHECK_FALSE(leader.node.has_lease(leader.now + duration::from_ms(190)));
    }

    SECTION("a leader that hears from no majority steps down")
    {
        leader.pass(1001);
        CHECK(leader.node.role() != role::leader);
    }
}

TEST_CASE("messages between replicas survive their encoding", "[quorum]")
{
    append_request request{3, 2, 1, 77, {command_at(4, 2)}};
    request.entries.front().command = std::string("\x00\xff binary", 9);
    snapshot base{9, 2, three_members().base.members, "state"};
    const auto body = GENERATE_COPY(
        message_body(vote_request{true, 4, 2}), message_body(vote_reply{false, true}), message_body(request),
        message_body(append_reply{true, 4, 5}), message_body(install_request{base, 6}));
    const message sent{c1, ~incarnation_id{0}, c2, 12, 5, body};
    CHECK(from_bytes<message>(to_bytes(sent)) == sent);
    CHECK_THROWS(from_bytes<message>("nonsense"));
}
