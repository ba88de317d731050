// The part of the class scheduler that queues subqueries and starts attempts when slots become free.

#include <flaxtiller/dispatch/scheduler.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>

namespace flaxtiller::dispatch
{

using namespace detail;

void scheduler::submit(const subquery& spec, time_point now)
{
    pending_subquery& item = m_pending[spec.id];
    item.spec = spec;
    item.submitted_at = now;
    item.held = spec.held;
    if (!is_known_shard(spec.shard))
    {
        give_up(item, missing_reason::no_backend_server, now);
        return;
    }
    duration retry_after{};
    missing_reason blocked = blocked_reason(item, now, retry_after);
    if (blocked == missing_reason::none && spec.again && !spend_budget(now))
    {
        blocked = missing_reason::overloaded;
    }
    if (blocked != missing_reason::none)
    {
        item.retry_after = retry_after;
        give_up(item, blocked, now);
        return;
    }
    const duration until_sent = warmup_wait(item, now);
    const duration wait = std::max(expected_wait_of(spec, now) + reported_wait(spec.shard, now), until_sent);
    // A subquery that is sent later would be dropped by drop_unservable.
    const bool unservable = until_sent > duration{} && until_sent + m_latency.median() > spec.deadline - now;
    if (wait > spec.deadline - now || unservable)
    {
        item.retry_after = wait;
        give_up(item, missing_reason::overloaded, now);
        return;
    }
    arm(spec.deadline, timer_kind::deadline, spec.id);
    enqueue(item, now);
}

void scheduler::enqueue(pending_subquery& item, time_point now, bool is_replacement)
{
    if (item.held && !item.one_attempt_allowed)
    {
        return;
    }
    const int shard = item.spec.shard;
    item.queued = true;
    m_shards[static_cast<std::size_t>(shard)].queue.add(waiting_entry_of(item.spec), is_replacement, now);
    ++m_queued;
    run_queue_of(shard, now);
}

void scheduler::hold(subquery_id id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    pending_subquery& item = found->second;
    item.held = true;
    item.one_attempt_allowed = false;
    item.backing_off = false;
    remove_from_queue(item);
}

void scheduler::start_one_attempt(subquery_id id, time_point now)
{
    const auto found = m_pending.find(id);
    if (found != m_pending.end() && is_idle_on_hold(id))
    {
        found->second.one_attempt_allowed = true;
        found->second.failed_servers.clear();
        enqueue(found->second, now);
    }
}

void scheduler::release(subquery_id id, time_point now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    pending_subquery& item = found->second;
    const bool idle = is_idle_on_hold(id);
    item.held = false;
    item.one_attempt_allowed = false;
    if (idle)
    {
        item.failed_servers.clear();
        enqueue(item, now);
    }
}

bool scheduler::is_idle_on_hold(subquery_id id) const
{
    const auto found = m_pending.find(id);
    return found != m_pending.end() && found->second.held && !found->second.queued &&
           found->second.running.empty();
}

void scheduler::remove_from_queue(pending_subquery& item)
{
    if (!item.queued)
    {
        return;
    }
    item.queued = false;
    --m_queued;
    if (is_known_shard(item.spec.shard))
    {
        m_shards[static_cast<std::size_t>(item.spec.shard)].queue.erase(item.spec.id);
    }
}

void scheduler::run_queue_of(int shard, time_point now)
{
    const auto& replicas = m_shards[static_cast<std::size_t>(shard)].replicas;
    // The first queued subquery gets the best free backend server, not the first one.
    auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    queue.advance(now);
    drop_unservable(shard, now);
    while (!queue.empty())
    {
        pending_subquery& head = m_pending.at(queue.first());
        const auto index = free_server(head, now);
        if (index && !is_waiting_faster(*index, head, now))
        {
            start(head, *index, now);
            continue;
        }
        const auto pipelined = pipelining_server(head, now);
        if (!pipelined || is_waiting_faster(*pipelined, head, now))
        {
            break;
        }
        start(head, *pipelined, now, true);
    }
    for (const server_index index : replicas)
    {
        run_queues_at(index, now);
    }
}

void scheduler::drop_unservable(int shard, time_point now)
{
    const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    const duration needed = m_latency.median();
    while (!queue.empty())
    {
        pending_subquery& head = m_pending.at(queue.next_to_expire());
        if (head.spec.deadline - now >= needed || is_worth_trying(head, now))
        {
            return;
        }
        // The answer would probably come after the deadline, and the slot would be wasted at the expense of
        // the next subquery.
        head.retry_after =
            estimated_wait(shard, head.spec.priority, head.spec.team) + reported_wait(shard, now);
        give_up(head, missing_reason::overloaded, now);
    }
}

/// Decides on a new subquery that the median gives no chance. Only attempts renew the median: if it alone
/// decided, a service that was slow would be refused for good.
/// @return whether the subquery is to be started: a slot is free, nothing else waits, and an attempt has been
///         fast enough lately, or none has been tried for some time
bool scheduler::is_worth_trying(const pending_subquery& item, time_point now)
{
    shard_state& shard = m_shards[static_cast<std::size_t>(item.spec.shard)];
    if (item.submitted_at != now || shard.queue.size() > 1)
    {
        return false;
    }
    const auto index = free_server(item, now);
    if (!index || is_waiting_faster(*index, item, now))
    {
        return false;
    }
    const bool is_fast =
        shard.fastest_answer && *shard.fastest_answer * item.spec.size <= item.spec.deadline - now;
    if (!is_fast && now < shard.next_probe_at)
    {
        return false;
    }
    shard.next_probe_at = is_fast ? shard.next_probe_at : now + probe_interval;
    return true;
}

void scheduler::run_queues_at(server_index index, time_point now)
{
    for (const int shard : m_servers[index].shards)
    {
        m_shards[static_cast<std::size_t>(shard)].queue.advance(now);
        drop_unservable(shard, now);
    }
    while ((has_slot(m_servers[index], now) || can_pipeline(m_servers[index], now)) &&
           start_first_for(index, now))
    {
    }
}

bool scheduler::start_first_for(server_index index, time_point now)
{
    const server_state& server = m_servers[index];
    const bool pipelined = !has_slot(server, now);
    pending_subquery* first = nullptr;
    work_queue::position first_position;
    for (const int shard : server.shards)
    {
        const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
        work_queue::scan in_order(queue);
        for (int examined = 0; examined < queue_scan_limit; ++examined)
        {
            const subquery_id id = in_order.next();
            if (id == 0)
            {
                break;
            }
            pending_subquery& item = m_pending.at(id);
            const bool tried = was_tried(index, item);
            const bool fits = !pipelined || item.spec.repeatable;
            if (fits && is_eligible(server, item, now) && !tried && !is_waiting_faster(index, item, now))
            {
                const work_queue::position position = queue.position_of(id);
                if (first == nullptr || position < first_position)
                {
                    first = &item;
                    first_position = position;
                }
                break;
            }
        }
    }
    if (first == nullptr)
    {
        return false;
    }
    start(*first, index, now, pipelined);
    return true;
}

void scheduler::on_slot_freed(server_state& server, time_point now)
{
    const auto waiting = m_attempts.find(server.pipelined_attempt);
    server.pipelined_attempt = 0;
    if (waiting == m_attempts.end())
    {
        return;
    }
    waiting->second.pipelined = false;
    waiting->second.started_at = now;
    const auto item = m_pending.find(waiting->second.subquery);
    if (item != m_pending.end())
    {
        arm_overdue_timer(waiting->first, item->second, now + overdue_after(waiting->second));
    }
}

void scheduler::start(pending_subquery& item, server_index index, time_point now, bool pipelined)
{
    if (item.queued)
    {
        m_shards[static_cast<std::size_t>(item.spec.shard)].queue.start(item.spec.id);
        remove_from_queue(item);
    }
    item.one_attempt_allowed = false;
    server_state& server = m_servers[index];
    spend_warmup_token(server, index, now);
    const attempt_id id = m_next_attempt++;
    attempt begun;
    begun.subquery = item.spec.id;
    begun.server = index;
    begun.run_number = server.run_number;
    begun.size = item.spec.size;
    begun.predicted_wait = predicted_wait(server, now);
    // A pipelined attempt is expected to begin when the next slot becomes free.
    begun.pipelined = pipelined;
    begun.started_at = pipelined ? now + m_latency.median() : now;
    m_attempts.emplace(id, begun);
    if (pipelined)
    {
        server.pipelined_attempt = id;
    }
    item.running.push_back(id);
    if (!item.spec.designated.empty() && server.definition.name != item.spec.designated)
    {
        item.second_server = index;
    }
    ++item.attempts;
    if (m_options.retries_refused)
    {
        item.sent.add(server.definition.name);
    }
    ++server.in_use;
    ++m_started;
    if (item.spec.repeatable)
    {
        arm_overdue_timer(id, item, begun.started_at + overdue_after(begun));
    }
    m_actions.emplace_back(start_attempt{id, item.spec.id, server.definition.name, item.spec.shard,
                                         item.spec.version, item.spec.deadline, item.spec.body});
}

} // namespace flaxtiller::dispatch
