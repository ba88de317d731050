// Which backend server a subquery goes to.

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

/// Its own word is all that says it leaves, and that is some time ago. Sooner where nobody else is left.
bool scheduler::may_have_come_back(const server_state& server, const work& item, time_point now) const
{
    const bool others_say_so = server.definition.leaving || server.listed_leaving || server.retired;
    if (others_say_so || !server.said_leaving || server.in_use > 0)
    {
        return false;
    }
    const auto& replicas = m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas;
    const bool alone = std::all_of(replicas.begin(), replicas.end(),
                                   [&](server_index index)
                                   {
                                       return m_servers[index].is_leaving();
                                   });
    return now - server.said_leaving_at >= (alone ? m_options.ask_leaving_alone : m_options.ask_leaving);
}

/// See @ref subquery::designated.
bool scheduler::is_allowed(const server_state& server, const work& item) const
{
    if (item.wanted.designated.empty() || server.definition.name == item.wanted.designated)
    {
        return true;
    }
    return !item.wanted.again && (!item.other || &m_servers[*item.other] == &server);
}

bool scheduler::is_in_region(const server_state& server, const work& item)
{
    return !item.wanted.regions || item.wanted.regions->allows(server.region);
}

bool scheduler::eligible(const server_state& server, const work& item, time_point now) const
{
    if (!is_in_region(server, item) || !is_allowed(server, item))
    {
        return false;
    }
    if (server.is_leaving() && !may_have_come_back(server, item, now))
    {
        return false;
    }
    if (item.wanted.version.empty() || !server.versions)
    {
        return true;
    }
    const auto& held = *server.versions;
    return std::find(held.begin(), held.end(), item.wanted.version) != held.end();
}

bool scheduler::usable(const server_state& server, time_point now) const
{
    const bool bears = now >= server.cold_until || server.cold_tokens.tokens_at(now) >= 1.0;
    return server.ejected_until <= now && server.busy_until <= now && bears;
}

connection_share scheduler::own_share(const server_state& server) const
{
    return m_options.direct ? direct_share_of(server.definition, m_candidates)
                            : share_of(server.definition, m_candidates);
}

int scheduler::slots_of(const server_state& server) const
{
    const int allowed = std::min(server.definition.slots, own_share(server).working);
    // One that comes back after failures gets one attempt at a time until it answers.
    return server.ejections_in_row > 0 ? std::min(allowed, 1) : allowed;
}

bool scheduler::has_slot(const server_state& server, time_point now) const
{
    return usable(server, now) && server.in_use < slots_of(server);
}

duration scheduler::expected_latency(const server_state& server, time_point now) const
{
    const bool known = server.recent_samples > 0 && now - server.observed_at < m_options.observation_age;
    const duration latency = known ? server.recent_latency : m_latency.median();
    const double rate = std::min(failing(server, now), most_failing);
    if (!can_pay_again())
    {
        return latency + m_latency.median() * (rate * lost_part_latencies);
    }
    // Each failure costs another attempt, there or elsewhere.
    return latency * (1.0 / (1.0 - rate));
}

double scheduler::failing(const server_state& server, time_point now) const
{
    const bool counts = m_options.failure_half_life > duration{};
    return counts ? server.failures.at(now, m_options.failure_half_life) : 0.0;
}

double scheduler::failure_rate_of(const backend_server_name& server, time_point now) const
{
    const auto known = m_server_index.find(server);
    return known == m_server_index.end() ? 0.0 : failing(m_servers[known->second], now);
}

duration scheduler::median_latency() const noexcept
{
    return m_latency.median();
}

duration scheduler::late_after_now() const
{
    const bool enough = m_latency.samples() >= enough_service_samples;
    return enough ? std::max(m_latency.late_after(), m_options.least_late_after) : m_options.first_late_after;
}

duration scheduler::late_after(const server_state& server) const
{
    const duration limit = late_after_now();
    if (m_options.late_by_server && server.latency.samples() >= enough_server_samples)
    {
        return std::clamp(server.latency.late_after(), m_options.least_late_after, limit);
    }
    const bool known = server.recent_samples >= enough_server_samples;
    const double ratio = known ? server.recent_latency.ms() / m_latency.median().ms() : 1.0;
    // One backend server sees too few stragglers to tell their share; it only tells how slow it is as a
    // whole.
    return ratio > m_options.slower_ratio ? limit * std::min(ratio, most_late_ratio) : limit;
}

/// Whether an attempt that fails now can be followed by another one; else its part is lost.
bool scheduler::can_pay_again() const noexcept
{
    return !m_options.refusals_cost || has_budget();
}

bool scheduler::was_tried(server_index index, const work& item) const
{
    return std::find(item.tried.begin(), item.tried.end(), index) != item.tried.end();
}

/// By the size of its own work: a small one that takes as long as a large one is late.
duration scheduler::late_after(const attempt& begun) const
{
    return std::max(late_after(m_servers[begun.server]) * begun.size, m_options.least_late_after);
}

bool scheduler::is_stuck(const server_state& server) const noexcept
{
    return m_options.avoid_stuck && server.in_use > 0 && server.late_in_use == server.in_use;
}

bool scheduler::prefer(server_index candidate, server_index over, time_point now) const
{
    const server_state& a = m_servers[candidate];
    const server_state& b = m_servers[over];
    if (is_stuck(a) != is_stuck(b))
    {
        return is_stuck(b);
    }
    const double more_failing = failing(a, now) - failing(b, now);
    // One that refuses or loses attempts only gets what the other has enough of: each failure costs another
    // attempt, of which there are few. Once the allowance is spent it gets nothing: a part that it refuses
    // then is lost. So the allowance itself tells how much of the load can go there.
    const bool would_lose = !can_pay_again();
    if (more_failing < -failing_band && (would_lose || a.in_use <= b.in_use))
    {
        return true;
    }
    if (more_failing > failing_band && (would_lose || b.in_use <= a.in_use))
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
    const bool near_is_slower = a.near ? latency_a > latency_b : latency_b > latency_a;
    if (a.near != b.near && !near_is_slower)
    {
        return a.near;
    }
    return a.in_use < b.in_use;
}

bool scheduler::has_room_ahead(const server_state& server, time_point now) const
{
    const connection_share share = own_share(server);
    const bool spare_connection = share.working > server.definition.slots;
    const bool queues = now - server.shed_at >= m_options.no_ahead_after_shed;
    return m_options.ahead > 0 && spare_connection && queues && usable(server, now) && server.ahead == 0 &&
           server.ejections_in_row == 0 && server.in_use == slots_of(server);
}

std::optional<scheduler::server_index> scheduler::server_ahead(const work& item, time_point now) const
{
    std::optional<server_index> best;
    if (!item.wanted.repeatable)
    {
        return best;
    }
    for (const server_index index : m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        const bool fits = eligible(server, item, now) && has_room_ahead(server, now);
        if (fits && (!best || prefer(index, *best, now)))
        {
            best = index;
        }
    }
    return best;
}

std::optional<scheduler::server_index> scheduler::free_server(const work& item, time_point now,
                                                              std::optional<server_index> avoid) const
{
    const auto unwanted = [&](server_index index)
    {
        return index == avoid || was_tried(index, item);
    };
    std::optional<server_index> best;
    for (const server_index index : m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        if (!eligible(server, item, now) || !has_slot(server, now))
        {
            continue;
        }
        const bool differ = best && unwanted(index) != unwanted(*best);
        const bool better = !best || (differ ? unwanted(*best) : prefer(index, *best, now));
        best = better ? index : best;
    }
    return best;
}

bool scheduler::better_to_wait(server_index candidate, const work& item, time_point now) const
{
    const duration here = expected_latency(m_servers[candidate], now);
    const shard_state& shard = m_shards[static_cast<std::size_t>(item.wanted.shard)];
    const auto before = static_cast<double>(shard.queue.size());
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [&](server_index index)
                       {
                           const server_state& other = m_servers[index];
                           if (index == candidate || !eligible(other, item, now) || !usable(other, now) ||
                               is_stuck(other))
                           {
                               return false;
                           }
                           const duration there = expected_latency(other, now);
                           const double turns = before / std::max(1, slots_of(other));
                           return there * m_options.slower_ratio + there * turns < here;
                       });
}

} // namespace flaxtiller::dispatch
