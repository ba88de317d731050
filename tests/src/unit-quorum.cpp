// Rules of the replicated log that random schedules reach too rarely. Each test sends the messages
// explicitly.

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

/// The replica c1 and the messages that it sent.
struct driver
{
    explicit driver(const persisted_state& stored) : node(c1, 11, timing{}, stored, 5, now)
    {
    }

    void advance(double ms)
    {
        now = now + duration::from_ms(ms);
        node.tick(now);
        pump();
    }

    void receive_from(const replica_name& from, incarnation_id incarnation, term_number term,
                      message_body body)
    {
        node.receive({from, incarnation, c1, 11, term, std::move(body)}, now);
        pump();
    }

    void pump()
    {
        output actions = node.take_output();
        if (actions.must_sync())
        {
            node.on_synced();
        }
        for (const auto* list : {&actions.send_now, &actions.send_after_sync})
        {
            sent_messages.insert(sent_messages.end(), list->begin(), list->end());
        }
        const output following = node.take_output();
        sent_messages.insert(sent_messages.end(), following.send_now.begin(), following.send_now.end());
    }

    template <typename Body>
    const Body* last_sent() const
    {
        for (auto item = sent_messages.rbegin(); item != sent_messages.rend(); ++item)
        {
            if (const auto* body = std::get_if<Body>(&item->body))
            {
                return body;
            }
        }
        return nullptr;
    }

    void become_leader()
    {
        advance(1001);
        receive_from(c2, 12, node.term() + 1, vote_reply{true, true});
        receive_from(c2, 12, node.term(), vote_reply{false, true});
        REQUIRE(node.role() == role::leader);
    }

    time_point now{duration::from_ms(10000)};
    replica node;
    std::vector<message> sent_messages;
};

} // namespace

TEST_CASE("elections", "[quorum]")
{
    driver follower(three_members());

    SECTION("a replica with recent leader contact grants no vote in any term")
    {
        follower.receive_from(c2, 12, 1, append_request{1, 1, 1, 7, {}});
        follower.advance(400);
        follower.receive_from(c3, 13, 9, vote_request{false, 50, 8});
        REQUIRE(follower.last_sent<vote_reply>() != nullptr);
        CHECK_FALSE(follower.last_sent<vote_reply>()->granted);
        CHECK(follower.node.term() == 1);
        follower.advance(101);
        follower.receive_from(c3, 13, 9, vote_request{false, 50, 8});
        CHECK(follower.last_sent<vote_reply>()->granted);
    }

    SECTION("a restarted replica behaves as if it had leader contact just before the restart")
    {
        follower.receive_from(c3, 13, 9, vote_request{false, 50, 8});
        CHECK_FALSE(follower.last_sent<vote_reply>()->granted);
    }

    SECTION("the vote of a replica that lost its disk does not count")
    {
        follower.advance(1001);
        follower.receive_from(c2, 99, 2, vote_reply{true, true});
        CHECK(follower.node.role() == role::pre_candidate);
        follower.receive_from(c2, 12, 2, vote_reply{true, true});
        CHECK(follower.node.role() == role::candidate);
        follower.receive_from(c3, 99, 2, vote_reply{false, true});
        CHECK(follower.node.role() == role::candidate);
        follower.receive_from(c3, 13, 2, vote_reply{false, true});
        CHECK(follower.node.role() == role::leader);
    }

    SECTION("a replica that lost its disk knows no members and never starts an election")
    {
        driver wiped{persisted_state{}};
        wiped.advance(5000);
        CHECK(wiped.sent_messages.empty());
        CHECK(wiped.node.role() == role::follower);
    }

    SECTION("a voter that missed how a candidate's lost disk was replaced votes for it all the same")
    {
        const incarnation_id unknown = 99;
        follower.advance(600);
        follower.receive_from(c3, unknown, 2, vote_request{true, 50, 1});
        REQUIRE(follower.last_sent<vote_reply>() != nullptr);
        CHECK(follower.last_sent<vote_reply>()->granted);
        follower.receive_from(c3, unknown, 2, vote_request{false, 50, 1});
        CHECK(follower.last_sent<vote_reply>()->granted);
        CHECK(follower.sent_messages.back().to_incarnation == unknown);
    }

    SECTION("a replica of an earlier incarnation gets no vote with a log that ends before the voter's")
    {
        driver voter(three_members({command_at(2, 1), command_at(3, 1)}));
        voter.advance(600);
        voter.receive_from(c3, 9, 2, vote_request{true, 2, 1});
        REQUIRE(voter.last_sent<vote_reply>() != nullptr);
        CHECK_FALSE(voter.last_sent<vote_reply>()->granted);
    }

    SECTION("a replica grants no vote to a candidate whose log is shorter than the known commit index")
    {
        persisted_state stored = three_members();
        stored.hard.known_commit = 40;
        driver voter_with_commit(stored);
        voter_with_commit.advance(600);
        voter_with_commit.receive_from(c3, 13, 9, vote_request{false, 39, 8});
        CHECK_FALSE(voter_with_commit.last_sent<vote_reply>()->granted);
        voter_with_commit.receive_from(c3, 13, 10, vote_request{false, 40, 8});
        CHECK(voter_with_commit.last_sent<vote_reply>()->granted);
    }
}

TEST_CASE("restarted voters start elections one after the other", "[quorum]")
{
    // There are six voters, of which c1 is the first or the last by name.
    const auto delay_before_election = [](const char* others)
    {
        persisted_state stored = three_members();
        member_set& member_list = stored.base.members;
        member_list.members = {{c1, {c1, 11, true}}};
        for (int i = 2; i <= 6; ++i)
        {
            const replica_name name(others + std::to_string(i));
            member_list.members[name] = {name, static_cast<incarnation_id>(10 + i), true};
        }
        driver restarted(stored);
        restarted.advance(1);
        const std::uint64_t replica_run = restarted.last_sent<leadership_query>()->replica_run;
        for (int i = 2; i <= 6; ++i)
        {
            restarted.receive_from(replica_name(others + std::to_string(i)),
                                   static_cast<incarnation_id>(10 + i), 1,
                                   leadership_reply{replica_run, false, restarted.node.members()});
        }
        double waited_ms = 0.0;
        while (restarted.node.role() == role::follower && waited_ms < 1000.0)
        {
            restarted.advance(1);
            waited_ms += 1.0;
        }
        return waited_ms;
    };
    const double turn = timing{}.early_election_spread.ms() / 6.0;
    CHECK(delay_before_election("c") <= turn * 0.25 + 1.0);
    const double last = delay_before_election("a");
    CHECK(last >= turn * 5.0);
    CHECK(last <= timing{}.early_election_spread.ms() + 1.0);
}

TEST_CASE("a restarted replica waits for the end of a previous lease", "[quorum]")
{
    driver restarted(three_members());
    const member_set members = restarted.node.members();
    const auto query_leadership = [&]
    {
        restarted.advance(1);
        REQUIRE(restarted.last_sent<leadership_query>() != nullptr);
        return restarted.last_sent<leadership_query>()->replica_run;
    };
    const auto grants_vote = [&]
    {
        restarted.receive_from(c3, 13, 9, vote_request{false, 50, 8});
        return restarted.last_sent<vote_reply>()->granted;
    };
    const std::uint64_t replica_run = query_leadership();

    SECTION("the wait ends and an election starts soon once no other voter is the leader")
    {
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
        CHECK_FALSE(grants_vote());
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run, false, members});
        restarted.advance(timing{}.early_election_spread.ms());
        CHECK(restarted.node.role() == role::pre_candidate);
        CHECK(grants_vote());
    }

    SECTION("an election is retried soon if the other voters still wait and refuse their votes")
    {
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run, false, members});
        restarted.advance(timing{}.early_election_spread.ms());
        restarted.receive_from(c2, 12, 1, vote_reply{true, false});
        restarted.receive_from(c3, 13, 1, vote_reply{true, false});
        restarted.sent_messages.clear();
        restarted.advance(timing{}.leadership_query_interval.ms() + timing{}.early_election_spread.ms());
        CHECK(restarted.last_sent<vote_request>() != nullptr);
        SECTION("the early retries end after the minimum election timeout")
        {
            restarted.advance(timing{}.election_min.ms());
            restarted.advance(timing{}.early_election_spread.ms() + timing{}.leadership_query_interval.ms());
            restarted.sent_messages.clear();
            restarted.advance(timing{}.election_min.ms() - 1);
            CHECK(restarted.last_sent<vote_request>() == nullptr);
        }
    }

    SECTION("the wait continues while a voter is silent, and only this voter is queried again")
    {
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.sent_messages.clear();
        restarted.advance(timing{}.leadership_query_interval.ms());
        REQUIRE(restarted.sent_messages.size() == 1);
        CHECK(restarted.sent_messages[0].to == c3);
        CHECK_FALSE(grants_vote());
    }

    SECTION("the wait continues while a voter is the leader")
    {
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run, true, members});
        CHECK_FALSE(grants_vote());
        CHECK(restarted.node.role() == role::follower);
    }

    SECTION("replies to queries of a previous run do not end the wait")
    {
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run + 1, false, members});
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run + 1, false, members});
        CHECK_FALSE(grants_vote());
    }

    SECTION("a voter that lost its disk is not the leader, but does not confirm the member set")
    {
        restarted.receive_from(c3, 99, 0, leadership_reply{replica_run, false, {}});
        CHECK_FALSE(grants_vote());
        SECTION("the replies of the other voters form a majority that confirms the member set")
        {
            restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
            CHECK(grants_vote());
        }
        SECTION("with two such voters no majority confirms the member set")
        {
            restarted.receive_from(c2, 98, 0, leadership_reply{replica_run, false, {}});
            CHECK_FALSE(grants_vote());
        }
    }

    SECTION("the wait continues if the other voters know a further voter, which may be the leader")
    {
        member_set larger_set = members;
        larger_set.members.emplace(replica_name("c4"), member{replica_name("c4"), 14, true});
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, larger_set});
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run, false, larger_set});
        CHECK_FALSE(grants_vote());
    }

    SECTION("leadership replies have no effect after a message of a leader in the current run")
    {
        restarted.receive_from(c2, 12, 1, append_request{1, 1, 1, 7, {}});
        restarted.receive_from(c2, 12, 1, leadership_reply{replica_run, false, members});
        restarted.receive_from(c3, 13, 1, leadership_reply{replica_run, false, members});
        CHECK_FALSE(grants_vote());
    }

    SECTION("a leadership query neither deposes a leader nor starts an election")
    {
        driver leader(three_members());
        leader.become_leader();
        const term_number term = leader.node.term();
        leader.receive_from(c2, 12, term + 5, leadership_query{77});
        REQUIRE(leader.last_sent<leadership_reply>() != nullptr);
        CHECK(leader.last_sent<leadership_reply>()->leads);
        CHECK(leader.last_sent<leadership_reply>()->replica_run == 77);
        CHECK(leader.node.role() == role::leader);
        CHECK(leader.node.term() == term);
    }
}

TEST_CASE("a leader that removes itself holds no lease", "[quorum]")
{
    driver leader(three_members());
    leader.become_leader();
    const auto acknowledge_all = [&]
    {
        const std::int64_t sent_at = leader.now.since_start().us();
        const log_index last = leader.node.log().last_index();
        leader.receive_from(c2, 12, leader.node.term(), append_reply{true, last, sent_at});
    };
    acknowledge_all();
    REQUIRE(leader.node.has_lease(leader.now));
    REQUIRE_FALSE(leader.node.remove_member(c1, leader.now));
    CHECK_FALSE(leader.node.has_lease(leader.now));
}

TEST_CASE("commitment", "[quorum]")
{
    driver leader(three_members({command_at(2, 2)}));
    leader.become_leader();
    REQUIRE(leader.node.log().last_index() == 3);

    SECTION("an entry of an earlier term is committed only together with an entry of the current term")
    {
        leader.receive_from(c2, 12, leader.node.term(), append_reply{true, 2, 0});
        CHECK(leader.node.commit_index() == 1);
        leader.receive_from(c2, 12, leader.node.term(), append_reply{true, 3, 0});
        CHECK(leader.node.commit_index() == 3);
    }

    SECTION("the acknowledgement of a replica that lost its disk does not count")
    {
        leader.receive_from(c2, 99, leader.node.term(), append_reply{true, 3, 0});
        CHECK(leader.node.commit_index() == 1);
        CHECK(leader.node.non_members().at(c2) == 99);
    }
}

TEST_CASE("a replica that may not run for election names no leader once the leader is silent", "[quorum]")
{
    driver follower(three_members());
    // It has received that index 9 is committed, but not the entry.
    follower.receive_from(c2, 12, 1, append_request{1, 1, 9, 7, {}});
    REQUIRE(follower.node.leader() == c2);
    follower.advance(timing{}.election_max.ms() + 1.0);
    CHECK(follower.node.role() == role::follower);
    CHECK(follower.node.leader().empty());
}

TEST_CASE("a learner becomes a voter while changes commit faster than it can acknowledge them", "[quorum]")
{
    driver leader(three_members());
    leader.become_leader();
    const term_number term = leader.node.term();
    leader.receive_from(c2, 12, term, append_reply{true, leader.node.log().last_index(), 0});
    const replica_name far("c4");
    REQUIRE_FALSE(leader.node.add_member(far, 14, leader.now));
    leader.pump();
    leader.receive_from(c2, 12, term, append_reply{true, leader.node.log().last_index(), 0});

    // The near voter acknowledges at once, the learner 8 ms later; a change comes each 4 ms.
    constexpr int changes = 500;
    constexpr int lag = 2;
    constexpr double interval_ms = 4;
    std::vector<log_index> reached;
    for (int i = 0; i < changes && !leader.node.members().is_voter(far, 14); ++i)
    {
        leader.node.propose("change", leader.now);
        leader.pump();
        reached.push_back(leader.node.log().last_index());
        const std::int64_t sent_at = leader.now.since_start().us();
        leader.receive_from(c2, 12, term, append_reply{true, reached.back(), sent_at});
        if (i >= lag)
        {
            const log_index acknowledged = reached[static_cast<std::size_t>(i - lag)];
            leader.receive_from(far, 14, term, append_reply{true, acknowledged, sent_at});
        }
        leader.advance(interval_ms);
    }
    CHECK(leader.node.members().is_voter(far, 14));
}

TEST_CASE("a learner that lags by more than a heartbeat interval doesn't become a voter", "[quorum]")
{
    driver leader(three_members());
    leader.become_leader();
    const term_number term = leader.node.term();
    const log_index opening = leader.node.log().last_index();
    const replica_name far("c4");
    const auto commit_for_an_interval = [&]
    {
        leader.node.propose("change", leader.now);
        leader.pump();
        const std::int64_t sent_at = leader.now.since_start().us();
        leader.receive_from(c2, 12, term, append_reply{true, leader.node.log().last_index(), sent_at});
        leader.receive_from(far, 14, term, append_reply{true, opening, sent_at});
        leader.advance(timing{}.heartbeat.ms());
    };
    commit_for_an_interval();
    commit_for_an_interval();
    REQUIRE_FALSE(leader.node.add_member(far, 14, leader.now));
    for (int i = 0; i < 20; ++i)
    {
        commit_for_an_interval();
        REQUIRE_FALSE(leader.node.members().is_voter(far, 14));
    }
}

TEST_CASE("a leader holds the lease while a majority of the voters acknowledges its messages", "[quorum]")
{
    driver leader(three_members());
    leader.become_leader();
    const auto acknowledge = [&]
    {
        leader.receive_from(c2, 12, leader.node.term(), append_reply{true, 2, leader.now.since_start().us()});
    };
    CHECK_FALSE(leader.node.has_lease(leader.now));
    acknowledge();
    CHECK(leader.node.has_lease(leader.now));

    SECTION("the lease ends before a follower may vote, with a margin for clock drift")
    {
        CHECK(leader.node.has_lease(leader.now + duration::from_ms(489)));
        CHECK_FALSE(leader.node.has_lease(leader.now + duration::from_ms(490)));
    }

    SECTION("a leader that resumes after a freeze holds no lease before it handles its first event")
    {
        leader.now = leader.now + duration::from_ms(60000);
        CHECK_FALSE(leader.node.has_lease(leader.now));
    }

    SECTION("the lease starts when the message was sent and not when its reply arrived")
    {
        const auto sent = leader.now.since_start().us();
        leader.advance(300);
        leader.receive_from(c2, 12, leader.node.term(), append_reply{true, 2, sent});
        CHECK_FALSE(leader.node.has_lease(leader.now + duration::from_ms(190)));
    }

    SECTION("a leader without contact to a majority steps down")
    {
        leader.advance(1001);
        CHECK(leader.node.role() != role::leader);
    }
}

TEST_CASE("messages between replicas are unchanged by encoding and decoding", "[quorum]")
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
