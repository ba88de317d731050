// The part of the class scheduler that chooses a backend server for a subquery.

#include <flaxtiller/dispatch/scheduler.hpp>

#include <flaxtiller/dispatch/owner_choice.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>

namespace flaxtiller::dispatch
{

using namespace detail;

bool scheduler::is_known_shard(int shard) const noexcept
{
    return shard >= 0 && static_cast<std::size_t>(shard) < m_shards.size();
}

/// @return whether only the backend server itself reported that it is leaving, and did so long enough ago.
/// The time is shorter where no other backend server of the shard is available.
bool scheduler::may_have_come_back(const server_state& server, const pending_subquery& item,
                                   time_point now) const
{
    const bool others_say_so = server.definition.leaving || server.listed_leaving || server.retired;
    if (others_say_so || !server.reported_leaving || server.in_use > 0)
    {
        return false;
    }
    const auto& replicas = m_shards[static_cast<std::size_t>(item.spec.shard)].replicas;
    const bool alone = std::all_of(replicas.begin(), replicas.end(),
                                   [&](server_index index)
                                   {
                                       return m_servers[index].is_leaving();
                                   });
    return now - server.reported_leaving_at >=
           (alone ? m_options.retry_leaving_after_if_alone : m_options.retry_leaving_after);
}

/// @return whether the backend server may be used under the rule of @ref subquery::designated
bool scheduler::is_allowed(const server_state& server, const pending_subquery& item) const
{
    if (m_options.retries_refused &&
        !item.sent.may_send_to(server.definition.name, item.spec.most_attempts, item.spec.designated))
    {
        return false;
    }
    if (item.spec.designated.empty() || server.definition.name == item.spec.designated)
    {
        return true;
    }
    return !item.spec.again && (!item.second_server || &m_servers[*item.second_server] == &server);
}

bool scheduler::is_in_region(const server_state& server, const pending_subquery& item)
{
    return !item.spec.regions || item.spec.regions->allows(server.region);
}

bool scheduler::is_eligible(const server_state& server, const pending_subquery& item, time_point now) const
{
    if (!is_in_region(server, item) || !is_allowed(server, item))
    {
        return false;
    }
    if (server.is_leaving() && !may_have_come_back(server, item, now))
    {
        return false;
    }
    if (item.spec.version.empty() || !server.versions)
    {
        return true;
    }
    const auto& held = *server.versions;
    return std::find(held.begin(), held.end(), item.spec.version) != held.end();
}

bool scheduler::is_usable(const server_state& server, time_point now) const
{
    const bool has_token = now >= server.cold_until || server.cold_tokens.tokens_at(now) >= 1.0;
    return server.ejected_until <= now && server.busy_until <= now && has_token;
}

connection_share scheduler::own_share(const server_state& server) const
{
    return m_options.direct ? direct_share_of(server.definition, m_candidates)
                            : share_of(server.definition, m_candidates);
}

int scheduler::slots_of(const server_state& server) const
{
    const int allowed = std::min(server.definition.slots, own_share(server).for_subqueries);
    // A backend server that returns from an ejection gets one attempt at a time until it answers.
    return server.ejections_in_row > 0 ? std::min(allowed, 1) : allowed;
}

bool scheduler::has_slot(const server_state& server, time_point now) const
{
    return is_usable(server, now) && server.in_use < slots_of(server);
}

duration scheduler::expected_latency(const server_state& server, time_point now) const
{
    const bool known = server.recent_samples > 0 && now - server.observed_at < m_options.observation_age;
    const duration average = known ? server.recent_latency : m_latency.median();
    const duration latency = with_reported_load(server, average, now);
    const double rate = std::min(current_failure_rate(server, now), max_counted_failure_rate);
    if (!can_afford_retry())
    {
        return latency + m_latency.median() * (rate * lost_part_penalty);
    }
    // Each failure costs another attempt, on this or another backend server.
    return latency * (1.0 / (1.0 - rate));
}

double scheduler::current_failure_rate(const server_state& server, time_point now) const
{
    const bool counts = m_options.failure_half_life > duration{};
    return counts ? server.failures.at(now, m_options.failure_half_life) : 0.0;
}

double scheduler::failure_rate_of(const backend_server_name& server, time_point now) const
{
    const auto known = m_server_index.find(server);
    return known == m_server_index.end() ? 0.0 : current_failure_rate(m_servers[known->second], now);
}

duration scheduler::median_latency() const noexcept
{
    return m_latency.median();
}

duration scheduler::service_overdue_after() const
{
    const bool enough = m_latency.samples() >= min_service_samples;
    return enough ? std::max(m_latency.overdue_after(), m_options.min_overdue_after)
                  : m_options.initial_overdue_after;
}

duration scheduler::overdue_after(const server_state& server) const
{
    const duration limit = service_overdue_after();
    if (m_options.overdue_by_server && server.latency.samples() >= min_server_samples)
    {
        return std::clamp(server.latency.overdue_after(), m_options.min_overdue_after, limit);
    }
    const bool known = server.recent_samples >= min_server_samples;
    const double ratio = known ? server.recent_latency.ms() / m_latency.median().ms() : 1.0;
    // A single backend server has too few stragglers to estimate their share, so that only its overall
    // slowness is taken into account.
    return ratio > m_options.slower_ratio ? limit * std::min(ratio, max_overdue_ratio) : limit;
}

/// @return whether an attempt that fails now can be followed by another one; otherwise its subquery is lost
bool scheduler::can_afford_retry() const noexcept
{
    return !m_options.charge_refusals || has_budget();
}

bool scheduler::was_tried(server_index index, const pending_subquery& item) const
{
    return std::find(item.failed_servers.begin(), item.failed_servers.end(), index) !=
           item.failed_servers.end();
}

/// @return the age at which an attempt is overdue, in proportion to the size of its subquery
duration scheduler::overdue_after(const attempt& begun) const
{
    return std::max(overdue_after(m_servers[begun.server]) * begun.size, m_options.min_overdue_after);
}

bool scheduler::is_stalled(const server_state& server) const noexcept
{
    return m_options.avoid_stalled && server.in_use > 0 && server.overdue_in_use == server.in_use;
}

bool scheduler::is_preferred(server_index candidate, server_index over, time_point now) const
{
    const server_state& a = m_servers[candidate];
    const server_state& b = m_servers[over];
    if (is_stalled(a) != is_stalled(b))
    {
        return is_stalled(b);
    }
    const double more_failing = current_failure_rate(a, now) - current_failure_rate(b, now);
    // A backend server that fails more attempts is preferred only while it has fewer attempts in progress
    // than the other, as each failure spends from the retry budget. Once the budget is spent it is not
    // preferred at all, because a subquery that it refuses would be lost. The budget thus limits the load on
    // a failing server.
    const bool would_lose = !can_afford_retry();
    if (more_failing < -failure_rate_tolerance && (would_lose || a.in_use <= b.in_use))
    {
        return true;
    }
    if (more_failing > failure_rate_tolerance && (would_lose || b.in_use <= a.in_use))
    {
        return false;
    }
    const duration latency_a = expected_latency(a, now);
    const duration latency_b = expected_latency(b, now);
    if (latency_a * m_options.slower_ratio < latency_b)
    {
        return true;
    }
    if (latency_b * m_options.slower_ratio < latency_a)
    {
        return false;
    }
    const bool near_is_slower = a.in_own_region ? latency_a > latency_b : latency_b > latency_a;
    if (a.in_own_region != b.in_own_region && !near_is_slower)
    {
        return a.in_own_region;
    }
    return a.in_use < b.in_use;
}

bool scheduler::can_pipeline(const server_state& server, time_point now) const
{
    const connection_share share = own_share(server);
    const bool spare_connection = share.for_subqueries > server.definition.slots;
    const bool queues = now - server.shed_at >= m_options.pipelining_pause_after_shed;
    return m_options.max_pipelined > 0 && spare_connection && queues && is_usable(server, now) &&
           server.pipelined_attempt == 0 && server.ejections_in_row == 0 && server.in_use == slots_of(server);
}

std::optional<scheduler::server_index> scheduler::pipelining_server(const pending_subquery& item,
                                                                    time_point now) const
{
    std::optional<server_index> best;
    if (!item.spec.repeatable)
    {
        return best;
    }
    for (const server_index index : m_shards[static_cast<std::size_t>(item.spec.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        const bool fits = is_eligible(server, item, now) && can_pipeline(server, now);
        if (fits && (!best || is_preferred(index, *best, now)))
        {
            best = index;
        }
    }
    return best;
}

std::optional<scheduler::server_index> scheduler::free_server(const pending_subquery& item, time_point now,
                                                              std::optional<server_index> avoid) const
{
    const auto unwanted = [&](server_index index)
    {
        return index == avoid || was_tried(index, item);
    };
    std::optional<server_index> best;
    for (const server_index index : m_shards[static_cast<std::size_t>(item.spec.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        if (!is_eligible(server, item, now) || !has_slot(server, now))
        {
            continue;
        }
        const bool differ = best && unwanted(index) != unwanted(*best);
        const bool better = !best || (differ ? unwanted(*best) : is_preferred(index, *best, now));
        best = better ? index : best;
    }
    return best;
}

bool scheduler::is_waiting_faster(server_index candidate, const pending_subquery& item, time_point now) const
{
    const duration here = expected_latency(m_servers[candidate], now);
    const shard_state& shard = m_shards[static_cast<std::size_t>(item.spec.shard)];
    const auto before = static_cast<double>(shard.queue.size());
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [&](server_index index)
                       {
                           const server_state& other = m_servers[index];
                           if (index == candidate || !is_eligible(other, item, now) ||
                               !is_usable(other, now) || is_stalled(other))
                           {
                               return false;
                           }
                           const duration there = expected_latency(other, now);
                           const double turns = before / std::max(1, slots_of(other));
                           return there * m_options.slower_ratio + there * turns < here;
                       });
}

} // namespace flaxtiller::dispatch
