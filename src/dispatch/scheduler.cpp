#include <flaxtiller/dispatch/scheduler.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <iterator>

namespace flaxtiller::dispatch
{

using namespace detail;

namespace
{

constexpr double ms_per_s = 1000.0;
/// A late attempt that must wait for another one's answer is looked at again after this share of its limit.
constexpr double look_again_share = 0.1;
/// So many late parts of a fan-out go elsewhere before any part of it is answered.
constexpr int most_before_an_answer = 3;

} // namespace

scheduler::scheduler(scheduler_options options)
    : m_options(options), m_budget(options.extra_load_share, options.budget_burst)
{
    m_latency.track(options.late_quantile, options.late_gain);
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

scheduler::server_index scheduler::take_server_index(const backend_server_name& name)
{
    const auto known = m_server_index.find(name);
    if (known != m_server_index.end())
    {
        return known->second;
    }
    const auto unused = [](const server_state& server)
    {
        return server.retired && server.in_use == 0;
    };
    const auto reusable = std::find_if(m_servers.begin(), m_servers.end(), unused);
    const auto index = static_cast<server_index>(std::distance(m_servers.begin(), reusable));
    if (reusable == m_servers.end())
    {
        m_servers.emplace_back();
    }
    else
    {
        m_server_index.erase(reusable->definition.name);
        *reusable = server_state{};
    }
    m_server_index.emplace(name, index);
    return index;
}

void scheduler::configure(const placed_service& placed, int candidates, time_point now)
{
    m_candidates = candidates;
    std::erase_if(m_cold,
                  [&](const auto& item)
                  {
                      return item.second.until <= now;
                  });
    for (server_state& server : m_servers)
    {
        server.shards.clear();
        server.retired = true;
    }
    m_shards.resize(placed.shards.size());
    for (std::size_t shard = 0; shard < placed.shards.size(); ++shard)
    {
        auto& replicas = m_shards[shard].replicas;
        replicas.clear();
        for (const backend_server& definition : placed.shards[shard])
        {
            const server_index index = take_server_index(definition.name);
            server_state& server = m_servers[index];
            if (server.definition.born_ms != definition.born_ms)
            {
                server.begin_life();
            }
            server.definition = definition;
            const auto region = m_region_of_zone->find(definition.availability_zone);
            server.region = region == m_region_of_zone->end() ? std::string() : region->second;
            server.near = !server.region.empty() && server.region == m_own_region;
            server.latency.track(m_options.late_quantile, m_options.late_gain);
            apply_cold(server, index, now);
            server.retired = false;
            server.shards.push_back(static_cast<int>(shard));
            replicas.push_back(index);
        }
    }
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard)
    {
        run_queue_of(static_cast<int>(shard), now);
    }
}

void scheduler::set_places(shared_value<std::map<std::string, std::string>> region_of_zone,
                           std::string own_region)
{
    m_region_of_zone = std::move(region_of_zone);
    m_own_region = std::move(own_region);
}

void scheduler::limit_budget(double burst, double per_ms)
{
    m_budget.limit(burst, per_ms);
}

void scheduler::limit_cold(const backend_server_name& name, time_point until, const warmup_share& share,
                           time_point now)
{
    if (until > now)
    {
        m_cold.insert_or_assign(name, cold_limit{until, share});
    }
    else
    {
        m_cold.erase(name);
    }
    const auto found = m_server_index.find(name);
    if (found != m_server_index.end())
    {
        apply_cold(m_servers[found->second], found->second, now);
        run_queues_at(found->second, now);
    }
}

void scheduler::apply_cold(server_state& server, server_index index, time_point now)
{
    const auto limit = m_cold.find(server.definition.name);
    if (limit == m_cold.end())
    {
        server.cold_until = std::min(server.cold_until, now);
        return;
    }
    if (server.cold_until != limit->second.until)
    {
        server.cold_until = limit->second.until;
        arm(server.cold_until, timer_kind::server_back, index);
    }
    if (server.cold_share != limit->second.share)
    {
        server.cold_share = limit->second.share;
        server.cold_tokens.advance(now);
        server.cold_tokens.limit(server.cold_share.burst, server.cold_share.requests_per_s / ms_per_s);
        if (server.cold_tokens.next_token_at() != time_point::never())
        {
            arm(server.cold_tokens.next_token_at(), timer_kind::server_back, index);
        }
    }
}

/// Whether this instance must leave it alone until it is warm.
bool scheduler::is_cold_without_share(const server_state& server, time_point now)
{
    return now < server.cold_until && server.cold_share.burst < 1.0;
}

void scheduler::pay_cold(server_state& server, server_index index, time_point now)
{
    if (now >= server.cold_until)
    {
        return;
    }
    server.cold_tokens.advance(now);
    // There is one: it was usable.
    (void)server.cold_tokens.spend();
    if (!server.cold_tokens.can_spend())
    {
        arm(std::min(server.cold_tokens.next_token_at(), server.cold_until), timer_kind::server_back, index);
    }
}

/// How long one more waits where all that could run it are cold: what they bear from this instance comes with
/// time, a whole request after the other at each. Without it, what doesn't fit is held until its deadline:
/// 313 of 458 requests at 11 instances (play in virtual time, 150 a second, all three replicas cold);
/// with it 47 of 539.
duration scheduler::cold_wait(const work& item, time_point now) const
{
    const shard_state& shard = m_shards[static_cast<std::size_t>(item.wanted.shard)];
    // For each that has a share: when its next request may be sent, and how long until the one after it.
    std::vector<std::pair<time_point, duration>> next;
    double at_hand = 0.0;
    time_point warm_at = time_point::never();
    for (const server_index index : shard.replicas)
    {
        const server_state& server = m_servers[index];
        if (!eligible(server, item, now) || server.ejected_until > now)
        {
            continue;
        }
        if (now >= server.cold_until)
        {
            return {};
        }
        warm_at = std::min(warm_at, server.cold_until);
        if (is_cold_without_share(server, now))
        {
            continue;
        }
        const double tokens = server.cold_tokens.tokens_at(now);
        const duration period = duration::from_ms(ms_per_s / server.cold_share.requests_per_s);
        at_hand += std::floor(tokens);
        next.emplace_back(now + period * (1.0 - (tokens - std::floor(tokens))), period);
    }
    auto lacking = static_cast<std::int64_t>(shard.queue.size()) + 1 - static_cast<std::int64_t>(at_hand);
    if (lacking <= 0 || warm_at == time_point::never())
    {
        return {};
    }
    for (; !next.empty(); --lacking)
    {
        const auto first = std::min_element(next.begin(), next.end());
        if (lacking == 1 || first->first >= warm_at)
        {
            return std::min(first->first, warm_at) - now;
        }
        first->first = first->first + first->second;
    }
    return warm_at - now;
}

bool scheduler::pay(time_point now)
{
    m_budget.advance(now);
    return m_budget.spend();
}

void scheduler::set_leaving(const backend_server_name& server, bool leaving, time_point now)
{
    const auto found = m_server_index.find(server);
    if (found == m_server_index.end())
    {
        return;
    }
    m_servers[found->second].listed_leaving = leaving;
    run_queues_at(found->second, now);
}

// ---------------------------------------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------------------------------------

void scheduler::arm(time_point at, timer_kind kind, std::uint64_t id)
{
    m_timers.insert({at, kind, id});
}

void scheduler::arm_late(attempt_id id, const work& item, time_point at)
{
    // At its deadline the subquery is given up; a timer beyond it would only be kept, for as long as an hour.
    if (at < item.wanted.deadline)
    {
        arm(at, timer_kind::late, id);
        m_attempts.at(id).late_timer_at = at;
    }
}

time_point scheduler::next_time() const noexcept
{
    return m_timers.empty() ? time_point::never() : m_timers.begin()->at;
}

void scheduler::on_time(time_point now)
{
    while (!m_timers.empty() && m_timers.begin()->at <= now)
    {
        const timer due = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        switch (due.kind)
        {
        case timer_kind::late:
            on_late(due.id, now);
            break;
        case timer_kind::cancel_bound:
            on_cancel_bound(due.id, now);
            break;
        case timer_kind::deadline:
            on_deadline(due.id, now);
            break;
        case timer_kind::unpark:
        {
            const auto found = m_work.find(due.id);
            if (found != m_work.end() && found->second.parked)
            {
                found->second.parked = false;
                found->second.tried.clear();
                enqueue(found->second, found->second.wanted.deadline, now);
            }
            break;
        }
        case timer_kind::server_back:
            run_queues_at(due.id, now);
            break;
        }
    }
}

bool scheduler::all_late(const work& item, time_point now) const
{
    return std::all_of(item.running.begin(), item.running.end(),
                       [&](attempt_id id)
                       {
                           const attempt& other = m_attempts.at(id);
                           return other.cancelling || now - other.started_at >= late_after(other);
                       });
}

void scheduler::on_late(attempt_id id, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.cancelling)
    {
        return;
    }
    attempt& late = found->second;
    server_state& server = m_servers[late.server];
    const duration limit = late_after(late);
    if (now - late.started_at >= limit && !late.is_late)
    {
        late.is_late = true;
        ++server.late_in_use;
    }
    const auto work_found = m_work.find(late.subquery);
    if (work_found == m_work.end())
    {
        return;
    }
    work& item = work_found->second;
    if (now - late.started_at < limit)
    {
        // The limit grew since the timer was set.
        arm_late(id, item, late.started_at + limit);
        return;
    }
    if (now >= item.wanted.deadline)
    {
        // Its deadline's own timer is next; this process was stopped for a while.
        return;
    }
    const bool waits = item.wanted.fan_out && !item.wanted.fan_out->any_answered &&
                       item.wanted.fan_out->sent_again >= most_before_an_answer;
    if (item.held || waits)
    {
        arm_late(id, item, now + limit * look_again_share);
        return;
    }
    if (item.queued || item.attempts >= m_options.most_attempts || !has_attempts_left(item) ||
        !all_late(item, now))
    {
        return;
    }
    const auto elsewhere = free_server(item, now, late.server);
    // Where a cancel costs a new connection, replacing it on the same backend server throws away the work
    // done for it, and its place in the queue, on the one that has no room: 100 times in 2.5 s where others
    // had crashed.
    const bool may_replace = m_options.cancel_losers && now >= server.replace_paused_until;
    if ((!elsewhere && !may_replace) || !pay(now))
    {
        arm_late(id, item, now + limit);
        return;
    }
    if (item.wanted.fan_out)
    {
        ++item.wanted.fan_out->sent_again;
    }
    if (elsewhere)
    {
        start(item, *elsewhere, now);
        return;
    }
    cancel(id, now);
    enqueue(item, front_of_queue, now);
}

void scheduler::cancel(attempt_id id, time_point now)
{
    attempt& target = m_attempts.at(id);
    if (target.cancelling)
    {
        return;
    }
    target.cancelling = true;
    target.cancelled_at = now;
    arm(now + m_options.cancel_bound, timer_kind::cancel_bound, id);
    m_actions.emplace_back(cancel_attempt{id, m_servers[target.server].definition.name});
}

void scheduler::on_cancel_bound(attempt_id id, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
    {
        return;
    }
    server_state& server = m_servers[found->second.server];
    ++server.cancel_failures_in_row;
    if (server.cancel_failures_in_row >= m_options.cancel_failures)
    {
        server.cancel_failures_in_row = m_options.cancel_failures - 1;
        server.replace_paused_until = now + m_options.cancel_pause;
    }
}

void scheduler::on_deadline(subquery_id id, time_point now)
{
    const auto found = m_work.find(id);
    if (found != m_work.end())
    {
        found->second.retry_after = estimated_wait(found->second.wanted.shard);
        give_up(found->second, missing_reason::late, now);
    }
}

// ---------------------------------------------------------------------------------------------------------
// results and inspection
// ---------------------------------------------------------------------------------------------------------

std::vector<action> scheduler::take_actions()
{
    return std::exchange(m_actions, {});
}

duration scheduler::estimated_wait(int shard) const
{
    if (!is_known_shard(shard))
    {
        return {};
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    double ends_per_ms = 0.0;
    for (const server_index index : state.replicas)
    {
        const server_state& server = m_servers[index];
        const bool counts = !server.is_leaving() && server.ejections_in_row == 0;
        const double hold_ms = std::max(server.recent_latency.ms(), m_mean_hold_ms);
        ends_per_ms += counts && hold_ms > 0.0 ? slots_of(server) / hold_ms : 0.0;
    }
    if (ends_per_ms <= 0.0 || state.queue.empty())
    {
        return {};
    }
    return duration::from_ms(static_cast<double>(state.queue.size()) / ends_per_ms);
}

std::vector<index_version> scheduler::held_versions(int shard) const
{
    std::set<index_version> held;
    if (is_known_shard(shard))
    {
        for (const server_index index : m_shards[static_cast<std::size_t>(shard)].replicas)
        {
            const server_state& server = m_servers[index];
            if (server.versions && !server.is_leaving())
            {
                held.insert(server.versions->begin(), server.versions->end());
            }
        }
    }
    return {held.begin(), held.end()};
}

std::vector<const server_state*> scheduler::servers() const
{
    std::vector<const server_state*> known;
    for (const auto& [name, index] : m_server_index)
    {
        known.push_back(&m_servers[index]);
    }
    return known;
}

std::size_t scheduler::queued() const noexcept
{
    return m_queued;
}

bool scheduler::is_idle() const noexcept
{
    return m_work.empty() && m_attempts.empty();
}

std::size_t scheduler::running() const noexcept
{
    return m_attempts.size();
}

std::uint64_t scheduler::attempts_started() const noexcept
{
    return m_started;
}

std::uint64_t scheduler::finished() const noexcept
{
    return m_finished;
}

bool scheduler::has_budget() const noexcept
{
    return m_budget.can_spend();
}

double scheduler::budget() const noexcept
{
    return m_budget.tokens();
}

} // namespace flaxtiller::dispatch
