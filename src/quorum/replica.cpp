#include <flaxtiller/quorum/replica.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::quorum
{

// ---------------------------------------------------------------------------------------------------------
// construction and inspection
// ---------------------------------------------------------------------------------------------------------

replica::replica(replica_name name, incarnation_id incarnation, timing limits, const persisted_state& stored,
                 std::uint64_t seed, time_point now)
    : m_name(std::move(name)), m_incarnation(incarnation), m_timing(limits), m_random(seed),
      m_hard(stored.hard), m_log(stored.base, stored.entries), m_commit(stored.base.last_index),
      m_synced(m_log.last_index()), m_emitted(stored.base.last_index),
      m_previous_lease_check(std::in_place, m_random()), m_query_due(now),
      // The previous run may have received a message of a leader just before it ended. The time of the start
      // is the latest possible time of such a message.
      m_last_leader_contact(now)
{
    reset_election_deadline(now);
}

enum role replica::role() const noexcept
{
    return m_role;
}

term_number replica::term() const noexcept
{
    return m_hard.term;
}

log_index replica::commit_index() const noexcept
{
    return m_commit;
}

const replica_name& replica::name() const noexcept
{
    return m_name;
}

incarnation_id replica::incarnation() const noexcept
{
    return m_incarnation;
}

const replica_name& replica::leader() const noexcept
{
    return m_leader;
}

const replicated_log& replica::log() const noexcept
{
    return m_log;
}

const member_set& replica::members() const noexcept
{
    return m_log.members();
}

const std::map<replica_name, progress>& replica::others() const noexcept
{
    return m_progress;
}

const std::map<replica_name, incarnation_id>& replica::non_members() const noexcept
{
    return m_non_members;
}

time_point replica::next_tick() const noexcept
{
    if (m_role == role::leader)
    {
        return m_heartbeat_due;
    }
    return m_previous_lease_check ? std::min(m_query_due, m_election_deadline) : m_election_deadline;
}

output replica::take_output()
{
    return std::exchange(m_output, output{});
}

bool replica::awaits_previous_lease_end() const noexcept
{
    return m_previous_lease_check.has_value();
}

bool replica::is_ready_leader() const noexcept
{
    return m_role == role::leader && m_log.term_at(m_commit) == m_hard.term;
}

bool replica::has_lease(time_point now) const
{
    // A restarted replica does not query a leader that has removed itself from the voters.
    if (!is_ready_leader() || !m_log.members().is_voter(m_name, m_incarnation))
    {
        return false;
    }
    const duration length = m_timing.election_min * (1.0 - 2.0 * m_timing.clock_drift);
    return m_log.members().majority_of(
        [&](const member& item)
        {
            if (item.name == m_name)
            {
                return true;
            }
            const auto found = m_progress.find(item.name);
            return found != m_progress.end() && found->second.acknowledged_sent_at + length > now;
        });
}

// ---------------------------------------------------------------------------------------------------------
// timeouts
// ---------------------------------------------------------------------------------------------------------

void replica::tick(time_point now)
{
    if (m_role == role::leader)
    {
        check_quorum(now);
    }
    if (m_role == role::leader)
    {
        promote_learners(now);
        if (now >= m_heartbeat_due)
        {
            replicate_to_all(now);
            m_heartbeat_due = now + m_timing.heartbeat;
            m_promotion_index = m_commit;
        }
        return;
    }
    if (m_previous_lease_check && now >= m_query_due)
    {
        query_leadership(now);
    }
    if (now >= m_election_deadline)
    {
        start_election(true, now);
    }
}

void replica::reset_election_deadline(time_point now)
{
    const duration spread = m_timing.election_max - m_timing.election_min;
    std::uniform_int_distribution<std::int64_t> draw(0, spread.us());
    m_election_deadline = now + m_timing.election_min + duration::from_us(draw(m_random));
}

bool replica::has_recent_leader_contact(time_point now) const
{
    return now - m_last_leader_contact < m_timing.election_min;
}

void replica::record_leader_contact(time_point now)
{
    m_last_leader_contact = now;
    m_early_election_until = now;
    m_previous_lease_check.reset();
}

void replica::check_quorum(time_point now)
{
    const bool majority_reachable = m_log.members().majority_of(
        [&](const member& item)
        {
            const auto found = m_progress.find(item.name);
            return item.name == m_name ||
                   (found != m_progress.end() && now - found->second.last_contact < m_timing.election_max);
        });
    if (!majority_reachable)
    {
        become_follower(m_hard.term, {}, now);
    }
}

// ---------------------------------------------------------------------------------------------------------
// messages
// ---------------------------------------------------------------------------------------------------------

void replica::receive(const message& received, time_point now)
{
    const bool for_another = received.to_incarnation != 0 && received.to_incarnation != m_incarnation;
    if (received.to != m_name || for_another)
    {
        return;
    }
    if (const auto* vote = std::get_if<vote_request>(&received.body))
    {
        on_vote_request(received, *vote, now);
        return;
    }
    // Leadership queries and replies do not update the term, so that a query cannot depose a leader.
    if (const auto* query = std::get_if<leadership_query>(&received.body))
    {
        on_leadership_query(received, *query);
        return;
    }
    if (const auto* reply = std::get_if<leadership_reply>(&received.body))
    {
        on_leadership_reply(received, *reply, now);
        return;
    }
    const auto* vote_result = std::get_if<vote_reply>(&received.body);
    const bool granted_pre_vote = vote_result != nullptr && vote_result->pre_vote && vote_result->granted;
    if (received.term > m_hard.term && !granted_pre_vote)
    {
        become_follower(received.term, {}, now);
    }
    if (const auto* vote = std::get_if<vote_reply>(&received.body))
    {
        on_vote_reply(received, *vote, now);
    }
    else if (const auto* append = std::get_if<append_request>(&received.body))
    {
        on_append_request(received, *append, now);
    }
    else if (const auto* reply = std::get_if<append_reply>(&received.body))
    {
        on_append_reply(received, *reply, now);
    }
    else if (const auto* install = std::get_if<install_request>(&received.body))
    {
        on_install_request(received, *install, now);
    }
}

void replica::send(const replica_name& to, incarnation_id to_incarnation, message_body body, bool after_sync)
{
    const auto* vote = std::get_if<vote_request>(&body);
    const bool is_pre_vote = vote != nullptr && vote->pre_vote;
    // A pre-vote refers to the term that the candidate would start.
    const term_number term = is_pre_vote ? m_hard.term + 1 : m_hard.term;
    message out{m_name, m_incarnation, to, to_incarnation, term, std::move(body)};
    // No message may be sent under a term or vote that is not on disk yet.
    const bool must_wait = after_sync || m_output.hard.has_value();
    auto& queue = must_wait ? m_output.send_after_sync : m_output.send_now;
    queue.push_back(std::move(out));
}

void replica::persist_hard()
{
    m_output.hard = m_hard;
}

// ---------------------------------------------------------------------------------------------------------
// follower
// ---------------------------------------------------------------------------------------------------------

void replica::record_known_commit(log_index leader_commit)
{
    if (leader_commit > m_hard.known_commit)
    {
        m_hard.known_commit = leader_commit;
        // The known commit index is written together with the next change and does not cause a sync of its
        // own.
        if (m_output.must_sync())
        {
            persist_hard();
        }
    }
}

void replica::on_append_request(const message& received, const append_request& body, time_point now)
{
    if (received.term < m_hard.term)
    {
        send(received.from, received.from_incarnation,
             append_reply{false, m_log.last_index(), body.sent_at_us}, false);
        return;
    }
    become_follower(received.term, received.from, now);
    record_leader_contact(now);
    record_known_commit(body.commit);

    const auto known_term = m_log.term_at(body.previous_index);
    const bool before_base = body.previous_index < m_log.base().last_index;
    if (!before_base && known_term != body.previous_term)
    {
        const log_index hint = std::min(m_log.last_index(), body.previous_index - 1);
        send(received.from, received.from_incarnation, append_reply{false, hint, body.sent_at_us}, true);
        return;
    }
    append_received(body);
    const log_index last_new = body.previous_index + static_cast<log_index>(body.entries.size());
    const log_index match = std::max(last_new, m_log.base().last_index);
    emit_committed(std::min(body.commit, match));
    send(received.from, received.from_incarnation, append_reply{true, match, body.sent_at_us}, true);
}

void replica::append_received(const append_request& body)
{
    for (const log_entry& entry : body.entries)
    {
        if (entry.index <= m_log.base().last_index)
        {
            continue;
        }
        const auto known_term = m_log.term_at(entry.index);
        if (known_term == entry.term)
        {
            continue;
        }
        if (known_term.has_value())
        {
            m_log.truncate_from(entry.index);
            std::erase_if(m_output.append,
                          [&](const log_entry& e)
                          {
                              return e.index >= entry.index;
                          });
            m_output.truncate_from = std::min(m_output.truncate_from.value_or(entry.index), entry.index);
            m_synced = std::min(m_synced, entry.index - 1);
        }
        m_log.append(entry);
        m_output.append.push_back(entry);
    }
}

void replica::on_install_request(const message& received, const install_request& body, time_point now)
{
    if (received.term < m_hard.term)
    {
        return;
    }
    become_follower(received.term, received.from, now);
    record_leader_contact(now);
    if (body.base.last_index > m_commit)
    {
        m_log.reset(body.base);
        m_output.install = body.base;
        m_output.truncate_from.reset();
        m_output.append.clear();
        m_output.committed.clear();
        m_commit = body.base.last_index;
        m_emitted = body.base.last_index;
        m_synced = body.base.last_index;
        record_known_commit(m_commit);
    }
    const log_index match = std::min(m_commit, body.base.last_index);
    send(received.from, received.from_incarnation, append_reply{true, match, body.sent_at_us}, true);
}

void replica::emit_committed(log_index up_to)
{
    m_commit = std::max(m_commit, up_to);
    while (m_emitted < m_commit)
    {
        ++m_emitted;
        m_output.committed.push_back(m_log.at(m_emitted));
    }
}

} // namespace flaxtiller::quorum
