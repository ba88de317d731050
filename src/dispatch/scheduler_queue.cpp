// Subqueries that wait, and what is started when a slot gets free.

#include <flaxtiller/dispatch/scheduler.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>

namespace flaxtiller::dispatch
{

using namespace detail;

void scheduler::submit(const subquery& wanted, time_point now)
{
    work& item = m_work[wanted.id];
    item.wanted = wanted;
    item.held = wanted.held;
    if (!is_known_shard(wanted.shard))
    {
        give_up(item, missing_reason::no_backend_server, now);
        return;
    }
    duration retry_after{};
    missing_reason blocked = why_not_runnable(item, now, retry_after);
    if (blocked == missing_reason::none && wanted.again && !pay(now))
    {
        blocked = missing_reason::overloaded;
    }
    if (blocked != missing_reason::none)
    {
        item.retry_after = retry_after;
        give_up(item, blocked, now);
        return;
    }
    const duration until_sent = cold_wait(item, now);
    const duration wait = std::max(estimated_wait(wanted.shard), until_sent);
    // What is sent later than that is dropped then; see drop_hopeless.
    const bool hopeless = until_sent > duration{} && until_sent + m_latency.median() > wanted.deadline - now;
    if (wait > wanted.deadline - now || hopeless)
    {
        item.retry_after = wait;
        give_up(item, missing_reason::overloaded, now);
        return;
    }
    arm(wanted.deadline, timer_kind::deadline, wanted.id);
    enqueue(item, wanted.deadline, now);
}

void scheduler::enqueue(work& item, time_point key, time_point now)
{
    if (item.held && !item.may_try)
    {
        return;
    }
    const int shard = item.wanted.shard;
    item.queued = true;
    item.queue_key = key;
    m_shards[static_cast<std::size_t>(shard)].queue.emplace(key, item.wanted.id);
    ++m_queued;
    run_queue_of(shard, now);
}

void scheduler::hold(subquery_id id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
    {
        return;
    }
    work& item = found->second;
    item.held = true;
    item.may_try = false;
    item.parked = false;
    unqueue(item);
}

void scheduler::try_once(subquery_id id, time_point now)
{
    const auto found = m_work.find(id);
    if (found != m_work.end() && is_held_back(id))
    {
        found->second.may_try = true;
        found->second.tried.clear();
        enqueue(found->second, found->second.wanted.deadline, now);
    }
}

void scheduler::release(subquery_id id, time_point now)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
    {
        return;
    }
    work& item = found->second;
    const bool waits = is_held_back(id);
    item.held = false;
    item.may_try = false;
    if (waits)
    {
        item.tried.clear();
        enqueue(item, item.wanted.deadline, now);
    }
}

bool scheduler::is_held_back(subquery_id id) const
{
    const auto found = m_work.find(id);
    return found != m_work.end() && found->second.held && !found->second.queued &&
           found->second.running.empty();
}

void scheduler::unqueue(work& item)
{
    if (!item.queued)
    {
        return;
    }
    item.queued = false;
    --m_queued;
    if (is_known_shard(item.wanted.shard))
    {
        m_shards[static_cast<std::size_t>(item.wanted.shard)].queue.erase({item.queue_key, item.wanted.id});
    }
}

void scheduler::run_queue_of(int shard, time_point now)
{
    const auto& replicas = m_shards[static_cast<std::size_t>(shard)].replicas;
    // The head goes to the best free backend server, not to the first.
    auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    drop_hopeless(shard, now);
    while (!queue.empty())
    {
        work& head = m_work.at(queue.begin()->second);
        const auto index = free_server(head, now);
        if (index && !better_to_wait(*index, head, now))
        {
            start(head, *index, now);
            continue;
        }
        const auto ahead = server_ahead(head, now);
        if (!ahead || better_to_wait(*ahead, head, now))
        {
            break;
        }
        start(head, *ahead, now, true);
    }
    for (const server_index index : replicas)
    {
        run_queues_at(index, now);
    }
}

void scheduler::drop_hopeless(int shard, time_point now)
{
    const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    const duration needed = m_latency.median();
    while (!queue.empty())
    {
        work& head = m_work.at(queue.begin()->second);
        if (head.wanted.deadline - now >= needed)
        {
            return;
        }
        // A slot that it took now would be wasted, and the next one would come too late in its turn.
        head.retry_after = estimated_wait(shard);
        give_up(head, missing_reason::overloaded, now);
    }
}

void scheduler::run_queues_at(server_index index, time_point now)
{
    for (const int shard : m_servers[index].shards)
    {
        drop_hopeless(shard, now);
    }
    while ((has_slot(m_servers[index], now) || has_room_ahead(m_servers[index], now)) &&
           start_first_for(index, now))
    {
    }
}

bool scheduler::start_first_for(server_index index, time_point now)
{
    const server_state& server = m_servers[index];
    const bool ahead = !has_slot(server, now);
    work* first = nullptr;
    for (const int shard : server.shards)
    {
        const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
        int looked_at = 0;
        for (const auto& [key, id] : queue)
        {
            if (++looked_at > queue_look_ahead)
            {
                break;
            }
            work& item = m_work.at(id);
            const bool tried = was_tried(index, item);
            const bool fits = !ahead || item.wanted.repeatable;
            if (fits && eligible(server, item, now) && !tried && !better_to_wait(index, item, now))
            {
                if (first == nullptr || key < first->queue_key)
                {
                    first = &item;
                }
                break;
            }
        }
    }
    if (first == nullptr)
    {
        return false;
    }
    start(*first, index, now, ahead);
    return true;
}

void scheduler::slot_got_free(server_state& server, time_point now)
{
    const auto waiting = m_attempts.find(server.ahead);
    server.ahead = 0;
    if (waiting == m_attempts.end())
    {
        return;
    }
    waiting->second.ahead = false;
    waiting->second.started_at = now;
    const auto item = m_work.find(waiting->second.subquery);
    if (item != m_work.end())
    {
        arm_late(waiting->first, item->second, now + late_after(waiting->second));
    }
}

void scheduler::start(work& item, server_index index, time_point now, bool ahead)
{
    unqueue(item);
    item.may_try = false;
    server_state& server = m_servers[index];
    pay_cold(server, index, now);
    const attempt_id id = m_next_attempt++;
    attempt begun;
    begun.subquery = item.wanted.id;
    begun.server = index;
    begun.life = server.life;
    begun.size = item.wanted.size;
    // One that waits ahead is expected to begin about when the next slot gets free.
    begun.ahead = ahead;
    begun.started_at = ahead ? now + m_latency.median() : now;
    m_attempts.emplace(id, begun);
    if (ahead)
    {
        server.ahead = id;
    }
    item.running.push_back(id);
    if (!item.wanted.designated.empty() && server.definition.name != item.wanted.designated)
    {
        item.other = index;
    }
    ++item.attempts;
    ++server.in_use;
    ++m_started;
    if (item.wanted.repeatable)
    {
        arm_late(id, item, begun.started_at + late_after(begun));
    }
    m_actions.emplace_back(start_attempt{id, item.wanted.id, server.definition.name, item.wanted.shard,
                                         item.wanted.version, item.wanted.deadline, item.wanted.body});
}

} // namespace flaxtiller::dispatch
