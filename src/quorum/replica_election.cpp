// Leader election of a replica: the wait after a restart, elections, and votes.

#include <flaxtiller/quorum/replica.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::quorum
{

// ---------------------------------------------------------------------------------------------------------
// wait after a restart
// ---------------------------------------------------------------------------------------------------------

void replica::query_leadership(time_point now)
{
    if (!has_recent_leader_contact(now))
    {
        // A lease that the previous run was part of has expired.
        m_previous_lease_check.reset();
        return;
    }
    m_query_due = now + m_timing.leadership_query_interval;
    for (const auto& [name, item] : m_log.members().members)
    {
        if (name != m_name && item.voter && m_previous_lease_check->awaits_reply_from(name))
        {
            // Incarnation 0 addresses the replica also if it has a new data folder.
            send(name, 0, leadership_query{m_previous_lease_check->replica_run()}, false);
        }
    }
}

void replica::on_leadership_query(const message& received, const leadership_query& body)
{
    send(received.from, received.from_incarnation,
         leadership_reply{body.replica_run, m_role == role::leader, m_log.members()}, false);
}

void replica::on_leadership_reply(const message& received, const leadership_reply& body, time_point now)
{
    if (!m_previous_lease_check)
    {
        return;
    }
    m_previous_lease_check->record_reply(received.from, received.from_incarnation, body, m_log.members());
    if (!m_previous_lease_check->rules_out_lease(m_name, m_log.members()))
    {
        return;
    }
    m_previous_lease_check.reset();
    m_last_leader_contact = now - m_timing.election_min;
    m_early_election_until = now + m_timing.election_min;
    m_election_deadline = std::min(m_election_deadline, now + early_election_delay());
}

/// Returns the delay until this replica starts its election after a restart. The voters start one after the
/// other in the order of their names, each with a small random addition. With random delays alone, two of six
/// voters often started at the same time and split the votes: after a loss of power of all six, it took 0.6 s
/// to elect a leader on instances that were busy with the establishment of their links.
duration replica::early_election_delay()
{
    constexpr double drawn_share = 0.25;
    const member_set& set = m_log.members();
    const auto before =
        static_cast<double>(std::count_if(set.members.begin(), set.members.lower_bound(m_name),
                                          [](const auto& item)
                                          {
                                              return item.second.voter;
                                          }));
    const duration turn =
        m_timing.early_election_spread * (1.0 / static_cast<double>(std::max<std::size_t>(set.voters(), 1)));
    std::uniform_int_distribution<std::int64_t> draw(0, (turn * drawn_share).us());
    return turn * before + duration::from_us(draw(m_random));
}

// ---------------------------------------------------------------------------------------------------------
// election
// ---------------------------------------------------------------------------------------------------------

void replica::become_follower(term_number term, const replica_name& leader, time_point now)
{
    if (term > m_hard.term)
    {
        m_hard.term = term;
        m_hard.voted_for = {};
        persist_hard();
    }
    m_role = role::follower;
    m_leader = leader;
    m_votes.clear();
    m_refusals.clear();
    m_progress.clear();
    reset_election_deadline(now);
}

election_status replica::election() const
{
    election_status status;
    status.voters = m_log.members().voters();
    status.majority = m_log.members().majority();
    status.is_voter = m_log.members().is_voter(m_name, m_incarnation);
    status.lacks_committed_entries = m_log.last_index() < m_hard.known_commit;
    status.awaits_previous_lease_end = awaits_previous_lease_end();
    status.granted = m_votes;
    status.refused = m_refusals;
    return status;
}

void replica::start_election(bool pre_vote, time_point now)
{
    reset_election_deadline(now);
    if (now < m_early_election_until)
    {
        // The other voters may not have ruled out an earlier lease yet, because the replies to their queries
        // are still in transit.
        m_election_deadline = now + m_timing.leadership_query_interval + early_election_delay();
    }
    // The leader, if there was one, has been silent for the whole time.
    m_leader = {};
    const election_status status = election();
    if (!status.is_voter || status.lacks_committed_entries)
    {
        return;
    }
    m_role = pre_vote ? role::pre_candidate : role::candidate;
    m_votes.clear();
    m_refusals.clear();
    if (!pre_vote)
    {
        ++m_hard.term;
        m_hard.voted_for = m_name;
        persist_hard();
    }
    const vote_request request{pre_vote, m_log.last_index(), m_log.last_term()};
    for (const auto& [name, item] : m_log.members().members)
    {
        if (name != m_name && item.voter)
        {
            send(name, item.incarnation, request, !pre_vote);
        }
    }
    count_vote(m_name, now);
}

void replica::count_vote(const replica_name& voter, time_point now)
{
    m_votes.insert(voter);
    const bool won = m_log.members().majority_of(
        [&](const member& item)
        {
            return m_votes.count(item.name) > 0;
        });
    if (!won)
    {
        return;
    }
    if (m_role == role::pre_candidate)
    {
        start_election(false, now);
    }
    else if (m_role == role::candidate)
    {
        become_leader(now);
    }
}

void replica::become_leader(time_point now)
{
    m_role = role::leader;
    m_leader = m_name;
    m_progress.clear();
    refresh_progress(now);
    log_entry opening;
    opening.kind = entry_kind::no_operation;
    append_new_entry(std::move(opening));
    replicate_to_all(now);
    m_heartbeat_due = now + m_timing.heartbeat;
    m_promotion_index = m_log.last_index();
}

bool replica::is_up_to_date(const vote_request& body) const
{
    const auto theirs = std::pair(body.last_term, body.last_index);
    const auto ours = std::pair(m_log.last_term(), m_log.last_index());
    return theirs >= ours && body.last_index >= m_hard.known_commit;
}

void replica::on_vote_request(const message& received, const vote_request& body, time_point now)
{
    const auto reply = [&](bool granted)
    {
        send(received.from, received.from_incarnation, vote_reply{body.pre_vote, granted},
             granted && !body.pre_vote);
    };

    if (m_role == role::leader || has_recent_leader_contact(now))
    {
        reply(false);
        return;
    }
    if (body.pre_vote)
    {
        reply(received.term > m_hard.term && is_up_to_date(body));
        return;
    }
    if (received.term > m_hard.term)
    {
        become_follower(received.term, {}, now);
    }
    const bool free_to_vote = m_hard.voted_for.empty() || m_hard.voted_for == received.from;
    const bool granted = received.term == m_hard.term && free_to_vote && is_up_to_date(body);
    if (granted && m_hard.voted_for.empty())
    {
        m_hard.voted_for = received.from;
        persist_hard();
        m_early_election_until = now;
        reset_election_deadline(now);
    }
    reply(granted);
}

void replica::on_vote_reply(const message& received, const vote_reply& body, time_point now)
{
    const bool expected = body.pre_vote ? m_role == role::pre_candidate : m_role == role::candidate;
    const bool same_round = body.pre_vote || received.term == m_hard.term;
    if (!expected || !same_round)
    {
        return;
    }
    if (!body.granted)
    {
        m_refusals.insert(received.from);
        return;
    }
    if (m_log.members().is_voter(received.from, received.from_incarnation))
    {
        count_vote(received.from, now);
    }
}

} // namespace flaxtiller::quorum
