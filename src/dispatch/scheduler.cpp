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
/// An overdue attempt that may not be hedged yet is checked again after this share of its limit.
constexpr double recheck_share = 0.1;
/// The number of overdue subqueries of a fan-out that may be hedged before any of its subqueries is answered.
constexpr int max_hedges_before_answer = 3;

} // namespace

scheduler::scheduler(scheduler_options options)
    : m_options(options), m_budget(options.extra_load_share, options.budget_burst)
{
    m_latency.set_overdue_rule(options.overdue_quantile, options.overdue_gain);
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

scheduler::server_index scheduler::find_or_add_server(const backend_server_name& name)
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
    resize_shards(placed.shards.size());
    for (std::size_t shard = 0; shard < placed.shards.size(); ++shard)
    {
        auto& replicas = m_shards[shard].replicas;
        replicas.clear();
        for (const backend_server& definition : placed.shards[shard])
        {
            const server_index index = find_or_add_server(definition.name);
            server_state& server = m_servers[index];
            if (server.definition.born_ms != definition.born_ms)
            {
                server.reset_for_new_run();
            }
            server.definition = definition;
            const auto region = m_region_of_zone->find(definition.availability_zone);
            server.region = region == m_region_of_zone->end() ? std::string() : region->second;
            server.in_own_region = !server.region.empty() && server.region == m_own_region;
            server.latency.set_overdue_rule(m_options.overdue_quantile, m_options.overdue_gain);
            apply_warmup_limit(server, index, now);
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

void scheduler::set_regions(shared_value<std::map<std::string, std::string>> region_of_zone,
                            std::string own_region)
{
    m_region_of_zone = std::move(region_of_zone);
    m_own_region = std::move(own_region);
}

void scheduler::limit_budget(double burst, double per_ms)
{
    m_budget.limit(burst, per_ms);
}

void scheduler::set_warmup_limit(const backend_server_name& name, time_point until, const warmup_share& share,
                                 time_point now)
{
    if (until > now)
    {
        m_cold.insert_or_assign(name, warmup_limit{until, share});
    }
    else
    {
        m_cold.erase(name);
    }
    const auto found = m_server_index.find(name);
    if (found != m_server_index.end())
    {
        apply_warmup_limit(m_servers[found->second], found->second, now);
        run_queues_at(found->second, now);
    }
}

void scheduler::apply_warmup_limit(server_state& server, server_index index, time_point now)
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
        arm(server.cold_until, timer_kind::server_available, index);
    }
    if (server.cold_share != limit->second.share)
    {
        server.cold_share = limit->second.share;
        server.cold_tokens.advance(now);
        server.cold_tokens.limit(server.cold_share.burst, server.cold_share.requests_per_s / ms_per_s);
        if (server.cold_tokens.next_token_at() != time_point::never())
        {
            arm(server.cold_tokens.next_token_at(), timer_kind::server_available, index);
        }
    }
}

/// @return whether this instance may not send to a cold backend server before it is warm
bool scheduler::is_cold_without_share(const server_state& server, time_point now)
{
    return now < server.cold_until && server.cold_share.burst < 1.0;
}

void scheduler::spend_warmup_token(server_state& server, server_index index, time_point now)
{
    if (now >= server.cold_until)
    {
        return;
    }
    server.cold_tokens.advance(now);
    // A token is available, as the backend server was usable.
    (void)server.cold_tokens.spend();
    if (!server.cold_tokens.can_spend())
    {
        arm(std::min(server.cold_tokens.next_token_at(), server.cold_until), timer_kind::server_available,
            index);
    }
}

/// @return the time that a new subquery would wait for a warm-up token where all eligible backend servers are
/// cold
///
/// Tokens become available one at a time at each backend server. Without this estimate, subqueries that
/// exceed the warm-up capacity wait in the queue until their deadline: 313 of 458 requests in a simulation of
/// 11 instances, 150 requests per second and three cold replicas, and 47 of 539 with it.
duration scheduler::warmup_wait(const pending_subquery& item, time_point now) const
{
    const shard_state& shard = m_shards[static_cast<std::size_t>(item.spec.shard)];
    // For each backend server with a share: the time of its next token and the period of further tokens.
    std::vector<std::pair<time_point, duration>> next;
    double at_hand = 0.0;
    time_point warm_at = time_point::never();
    for (const server_index index : shard.replicas)
    {
        const server_state& server = m_servers[index];
        if (!is_eligible(server, item, now) || server.ejected_until > now)
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
    auto lacking =
        static_cast<std::int64_t>(shard.queue.size_on_time()) + 1 - static_cast<std::int64_t>(at_hand);
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

bool scheduler::spend_budget(time_point now)
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

void scheduler::arm_overdue_timer(attempt_id id, const pending_subquery& item, time_point at)
{
    // The subquery ends at its deadline; a timer beyond it would have no effect but be kept for up to an
    // hour.
    if (at < item.spec.deadline)
    {
        arm(at, timer_kind::overdue, id);
        m_attempts.at(id).overdue_timer_at = at;
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
        case timer_kind::overdue:
            on_overdue(due.id, now);
            break;
        case timer_kind::cancel_confirmation_timeout:
            on_cancel_timeout(due.id, now);
            break;
        case timer_kind::deadline:
            on_deadline(due.id, now);
            break;
        case timer_kind::backoff_over:
        {
            const auto found = m_pending.find(due.id);
            if (found != m_pending.end() && found->second.backing_off)
            {
                found->second.backing_off = false;
                found->second.failed_servers.clear();
                enqueue(found->second, now);
            }
            break;
        }
        case timer_kind::server_available:
            run_queues_at(due.id, now);
            break;
        }
    }
}

bool scheduler::all_overdue(const pending_subquery& item, time_point now) const
{
    return std::all_of(item.running.begin(), item.running.end(),
                       [&](attempt_id id)
                       {
                           const attempt& other = m_attempts.at(id);
                           return other.cancelling || now - other.started_at >= overdue_after(other);
                       });
}

void scheduler::on_overdue(attempt_id id, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.cancelling)
    {
        return;
    }
    attempt& overdue = found->second;
    server_state& server = m_servers[overdue.server];
    const duration limit = overdue_after(overdue);
    if (now - overdue.started_at >= limit && !overdue.is_overdue)
    {
        overdue.is_overdue = true;
        ++server.overdue_in_use;
    }
    const auto pending_found = m_pending.find(overdue.subquery);
    if (pending_found == m_pending.end())
    {
        return;
    }
    pending_subquery& item = pending_found->second;
    if (now - overdue.started_at < limit)
    {
        // The limit has increased since the timer was set.
        arm_overdue_timer(id, item, overdue.started_at + limit);
        return;
    }
    if (now >= item.spec.deadline)
    {
        // The process was suspended beyond the deadline; the timer of the deadline is processed next.
        return;
    }
    const bool waits = item.spec.fan_out && !item.spec.fan_out->any_answered &&
                       item.spec.fan_out->hedged_parts >= max_hedges_before_answer;
    if (item.held || waits)
    {
        arm_overdue_timer(id, item, now + limit * recheck_share);
        return;
    }
    if (item.queued || item.attempts >= m_options.most_attempts || !has_attempts_left(item) ||
        !all_overdue(item, now))
    {
        return;
    }
    const auto elsewhere = free_server(item, now, overdue.server);
    // Where a cancel costs a new connection, replacing an attempt on the same backend server would discard
    // the work done for the attempt, and its place in the queue of a server without a free slot. That
    // happened 100 times in 2.5 s while other backend servers had crashed.
    const bool may_replace = m_options.cancel_losers && now >= server.replace_paused_until;
    if ((!elsewhere && !may_replace) || !spend_budget(now))
    {
        arm_overdue_timer(id, item, now + limit);
        return;
    }
    if (item.spec.fan_out)
    {
        ++item.spec.fan_out->hedged_parts;
    }
    if (elsewhere)
    {
        start(item, *elsewhere, now);
        return;
    }
    cancel(id, now);
    enqueue(item, now, true);
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
    arm(now + m_options.cancel_confirmation_timeout, timer_kind::cancel_confirmation_timeout, id);
    m_actions.emplace_back(cancel_attempt{id, m_servers[target.server].definition.name});
}

void scheduler::on_cancel_timeout(attempt_id id, time_point now)
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
    const auto found = m_pending.find(id);
    if (found != m_pending.end())
    {
        const subquery& spec = found->second.spec;
        if (!found->second.running.empty() && is_known_shard(spec.shard))
        {
            m_shards[static_cast<std::size_t>(spec.shard)].fastest_answer.reset();
        }
        found->second.retry_after =
            estimated_wait(spec.shard, spec.priority, spec.team) + reported_wait(spec.shard, now);
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
    return m_pending.empty() && m_attempts.empty();
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
