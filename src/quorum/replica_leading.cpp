// The leader's part of a replica: replication, snapshots, commitment and changes of the member set.

#include <flaxtiller/quorum/replica.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::quorum
{

namespace
{

constexpr std::size_t max_entries_per_append = 512;
constexpr std::size_t max_bytes_per_append = std::size_t{1} << 20U;

} // namespace

// ---------------------------------------------------------------------------------------------------------
// replication
// ---------------------------------------------------------------------------------------------------------

std::optional<log_index> replica::propose(std::string command, time_point now)
{
    if (m_role != role::leader)
    {
        return std::nullopt;
    }
    log_entry entry;
    entry.kind = entry_kind::command;
    entry.command = std::move(command);
    append_new_entry(std::move(entry));
    replicate_to_all(now);
    return m_log.last_index();
}

void replica::append_new_entry(log_entry entry)
{
    entry.index = m_log.last_index() + 1;
    entry.term = m_hard.term;
    m_log.append(entry);
    m_output.append.push_back(std::move(entry));
}

void replica::on_synced()
{
    m_synced = m_log.last_index();
    if (m_role == role::leader)
    {
        advance_commit();
    }
}

void replica::advance_commit()
{
    for (log_index index = m_log.last_index(); index > m_commit; --index)
    {
        if (m_log.term_at(index) != m_hard.term)
        {
            return;
        }
        const bool stored = m_log.members().majority_of(
            [&](const member& item)
            {
                if (item.name == m_name)
                {
                    return m_synced >= index;
                }
                const auto found = m_progress.find(item.name);
                return found != m_progress.end() && found->second.match >= index;
            });
        if (stored)
        {
            record_known_commit(index);
            emit_committed(index);
            const bool removed = m_log.members().members.count(m_name) == 0;
            if (removed && m_log.members_index() <= m_commit)
            {
                m_role = role::follower;
                m_leader = {};
            }
            return;
        }
    }
}

void replica::refresh_progress(time_point now)
{
    const auto& members = m_log.members().members;
    std::erase_if(m_progress,
                  [&](const auto& item)
                  {
                      return members.count(item.first) == 0;
                  });
    for (const auto& [name, item] : members)
    {
        if (name != m_name && m_progress.count(name) == 0)
        {
            progress fresh;
            fresh.next = m_log.last_index() + 1;
            fresh.last_contact = now;
            fresh.acknowledged_sent_at = now - m_timing.election_max;
            m_progress.emplace(name, fresh);
        }
    }
}

void replica::replicate_to_all(time_point now)
{
    for (const auto& [name, item] : m_log.members().members)
    {
        if (name != m_name)
        {
            replicate_to(item, now);
        }
    }
}

void replica::replicate_to(const member& to, time_point now)
{
    const auto found = m_progress.find(to.name);
    if (found == m_progress.end())
    {
        return;
    }
    progress& state = found->second;
    if (state.next <= m_log.base().last_index)
    {
        send_snapshot(to, state, now);
        return;
    }
    append_request request;
    request.previous_index = state.next - 1;
    request.previous_term = m_log.term_at(request.previous_index).value_or(0);
    request.commit = m_commit;
    request.sent_at_us = now.since_start().us();
    request.entries = m_log.slice(state.next, max_entries_per_append, max_bytes_per_append);
    // The request is assumed to arrive, and the next one continues after its entries. The reply to the next
    // heartbeat reveals a lost request.
    state.next += static_cast<log_index>(request.entries.size());
    send(to.name, to.incarnation, std::move(request), false);
}

void replica::send_snapshot(const member& to, progress& state, time_point now)
{
    if (state.snapshot_pending && now - state.snapshot_sent_at < m_timing.snapshot_retry)
    {
        return;
    }
    state.snapshot_pending = true;
    state.snapshot_sent_at = now;
    send(to.name, to.incarnation, install_request{m_log.base(), now.since_start().us()}, false);
}

void replica::on_append_reply(const message& received, const append_reply& body, time_point now)
{
    if (m_role != role::leader || received.term != m_hard.term)
    {
        return;
    }
    const auto& members = m_log.members().members;
    const auto item = members.find(received.from);
    if (item == members.end() || item->second.incarnation != received.from_incarnation)
    {
        m_non_members[received.from] = received.from_incarnation;
        return;
    }
    progress& state = m_progress[received.from];
    state.last_contact = now;
    const time_point sent_at(duration::from_us(body.sent_at_us));
    state.acknowledged_sent_at = std::max(state.acknowledged_sent_at, sent_at);
    if (!body.success)
    {
        state.next = std::max(state.match + 1, std::min(state.next - 1, body.match + 1));
        replicate_to(item->second, now);
        return;
    }
    state.snapshot_pending = false;
    state.match = std::max(state.match, body.match);
    state.next = std::max(state.next, state.match + 1);
    const log_index before = m_commit;
    advance_commit();
    if (m_role == role::leader && (m_commit > before || state.next <= m_log.last_index()))
    {
        replicate_to_all(now);
    }
}

void replica::compact(log_index applied, std::string state)
{
    if (applied <= m_log.base().last_index || applied > m_commit)
    {
        return;
    }
    snapshot base;
    base.last_index = applied;
    base.last_term = m_log.term_at(applied).value_or(0);
    base.members = m_log.base().members;
    for (log_index index = m_log.first_index(); index <= applied; ++index)
    {
        if (m_log.at(index).kind == entry_kind::members)
        {
            base.members = m_log.at(index).members;
        }
    }
    base.state = std::move(state);
    m_log.compact(std::move(base));
}

// ---------------------------------------------------------------------------------------------------------
// members
// ---------------------------------------------------------------------------------------------------------

std::error_code replica::propose_members(member_set next, time_point now)
{
    if (m_role != role::leader)
    {
        return errc::not_leader;
    }
    // Only one change may be pending, and an entry of this term must be committed first.
    if (!is_ready_leader() || m_log.members_index() > m_commit)
    {
        return errc::not_committed;
    }
    log_entry entry;
    entry.kind = entry_kind::members;
    entry.members = std::move(next);
    append_new_entry(std::move(entry));
    refresh_progress(now);
    replicate_to_all(now);
    return {};
}

std::error_code replica::add_member(const replica_name& name, incarnation_id incarnation, time_point now)
{
    member_set next = m_log.members();
    const auto found = next.members.find(name);
    if (found != next.members.end() && found->second.incarnation == incarnation)
    {
        return {};
    }
    next.members[name] = member{name, incarnation, false};
    const std::error_code refused = propose_members(std::move(next), now);
    if (!refused)
    {
        m_non_members.erase(name);
        progress& state = m_progress[name];
        state = progress{};
        state.next = m_log.last_index() + 1;
        state.last_contact = now;
        state.acknowledged_sent_at = now - m_timing.election_max;
    }
    return refused;
}

std::error_code replica::remove_member(const replica_name& name, time_point now)
{
    member_set next = m_log.members();
    if (next.members.erase(name) == 0)
    {
        return {};
    }
    if (next.voters() == 0)
    {
        return errc::out_of_range;
    }
    return propose_members(std::move(next), now);
}

void replica::promote_learners(time_point now)
{
    for (const auto& [name, item] : m_log.members().members)
    {
        const auto found = m_progress.find(name);
        if (item.voter || found == m_progress.end())
        {
            continue;
        }
        const progress& state = found->second;
        const bool reachable = now - state.last_contact < m_timing.election_min;
        if (reachable && state.match > 0 && state.match >= m_promotion_index)
        {
            member_set next = m_log.members();
            next.members[name].voter = true;
            (void)propose_members(std::move(next), now);
            return;
        }
    }
}

} // namespace flaxtiller::quorum
