// The part of the class scheduler that relates subqueries to the queues of their shards.

#include <flaxtiller/dispatch/scheduler.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

void scheduler::resize_shards(std::size_t count)
{
    const auto order =
        m_options.orders_by_priority ? work_queue::order::by_priority : work_queue::order::by_deadline;
    while (m_shards.size() > count)
    {
        m_shards.pop_back();
    }
    while (m_shards.size() < count)
    {
        m_shards.push_back(shard_state{{}, work_queue(order)});
    }
}

waiting_subquery scheduler::waiting_entry_of(const subquery& spec) const
{
    waiting_subquery entry;
    entry.id = spec.id;
    entry.deadline = spec.deadline;
    if (!m_options.orders_by_priority)
    {
        return entry;
    }
    entry.priority = spec.priority;
    entry.team = spec.team;
    entry.objective_at = spec.objective_at;
    entry.cost = spec.size;
    if (spec.objective_at != time_point::never())
    {
        entry.late_at = spec.objective_at - m_latency.median() * spec.size;
    }
    return entry;
}

void scheduler::set_priority(subquery_id id, int priority, time_point now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    pending_subquery& item = found->second;
    item.spec.priority = priority;
    if (item.queued && m_options.orders_by_priority && is_known_shard(item.spec.shard))
    {
        m_shards[static_cast<std::size_t>(item.spec.shard)].queue.set_priority(id, priority);
        run_queue_of(item.spec.shard, now);
    }
}

bool scheduler::refuse_waiting(subquery_id id, missing_reason reason, time_point now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || !found->second.running.empty())
    {
        return false;
    }
    give_up(found->second, reason, now);
    return true;
}

/// @return the time after which work of this cost, which waits for the shard, is served
duration scheduler::wait_behind(const shard_state& shard, double cost) const
{
    if (cost <= 0.0)
    {
        return {};
    }
    double ends_per_ms = 0.0;
    for (const server_index index : shard.replicas)
    {
        const server_state& server = m_servers[index];
        const bool counts = !server.is_leaving() && server.ejections_in_row == 0;
        const double hold_ms = std::max(server.recent_latency.ms(), m_mean_hold_ms);
        ends_per_ms += counts && hold_ms > 0.0 ? slots_of(server) / hold_ms : 0.0;
    }
    return ends_per_ms > 0.0 ? duration::from_ms(cost / ends_per_ms) : duration{};
}

duration scheduler::estimated_wait(int shard) const
{
    if (!is_known_shard(shard))
    {
        return {};
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    return wait_behind(state, state.queue.cost_on_time());
}

duration scheduler::estimated_wait(int shard, int priority) const
{
    if (!m_options.orders_by_priority || !is_known_shard(shard))
    {
        return estimated_wait(shard);
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    return wait_behind(state, state.queue.cost_before(priority));
}

duration scheduler::estimated_wait(int shard, int priority, const team_name& team) const
{
    if (!m_options.orders_by_priority || !is_known_shard(shard))
    {
        return estimated_wait(shard);
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    return wait_behind(state, state.queue.cost_before(priority, team));
}

duration scheduler::estimated_wait_if_late(int shard) const
{
    if (!is_known_shard(shard))
    {
        return {};
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    return wait_behind(state, state.queue.cost());
}

/// @return the time that a subquery would wait if it were queued now
duration scheduler::expected_wait_of(const subquery& spec, time_point now) const
{
    if (m_options.orders_by_priority && now > waiting_entry_of(spec).late_at)
    {
        return estimated_wait_if_late(spec.shard);
    }
    return estimated_wait(spec.shard, spec.priority, spec.team);
}

void scheduler::add_waiting_work(waiting_counts& into) const
{
    for (const shard_state& shard : m_shards)
    {
        shard.queue.add_counts(into);
    }
}

} // namespace flaxtiller::dispatch
