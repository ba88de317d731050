#include <flaxtiller/routing/group_choice.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace flaxtiller
{

void group_choice::configure(const routing_view& view)
{
    m_self = view.self;
    for (const instance_name& peer : *m_unreachable)
    {
        if (view.unreachable->count(peer) == 0)
        {
            // The entry is reachable again, so an earlier failure no longer counts.
            m_backoffs.erase(peer);
        }
    }
    m_unreachable = view.unreachable;
    if (!view.peers.is_shared_with(m_peers))
    {
        m_peers = view.peers;
        std::set<instance_name> listed{m_self};
        for (const entry_peer& peer : *m_peers)
        {
            listed.insert(peer.name);
        }
        m_delays.retain(
            [&](const instance_name& owner)
            {
                return listed.count(owner) > 0;
            });
    }
    m_plan.update(view);
}

bool group_choice::is_available(const instance_name& peer, time_point now) const
{
    const auto passed_over = m_backoffs.find(peer);
    return m_unreachable->count(peer) == 0 &&
           (passed_over == m_backoffs.end() || passed_over->second.until <= now);
}

std::optional<instance_name> group_choice::first_available(const shard_plan::group& item, time_point now)
{
    const std::size_t from = item.is_round_robin ? m_next_start++ : 0;
    for (std::size_t i = 0; i < item.runner_candidates.size(); ++i)
    {
        const instance_name& peer = item.runner_candidates[(from + i) % item.runner_candidates.size()];
        if (peer == m_self || is_available(peer, now))
        {
            return peer;
        }
    }
    return std::nullopt;
}

/// @return the inputs of the decision if the second candidate runs the group because the first one is slower
std::optional<owner_shift> group_choice::shift_to_second(const shard_plan::group& item, duration objective,
                                                         time_point now, const own_delay_function& own_delay)
{
    // The other candidates neither share the retry budget nor keep connections for the group.
    constexpr std::size_t balanced = shard_plan::budgeted_owners;
    if (!m_balances_owners || item.is_round_robin || item.runner_candidates.size() < balanced)
    {
        return std::nullopt;
    }
    const instance_name& first = item.runner_candidates[0];
    const instance_name& second = item.runner_candidates[1];
    const auto delay = [&](const instance_name& owner)
    {
        return owner == m_self && own_delay ? own_delay(item.shards) : delay_of(owner, now);
    };
    const bool are_available =
        (first == m_self || is_available(first, now)) && (second == m_self || is_available(second, now));
    if (!are_available)
    {
        return std::nullopt;
    }
    owner_shift shift{first, delay(first), delay(second)};
    shift.second_share = owner_delays::second_share(shift.first_delay, shift.second_delay, objective);
    return m_delays.is_turn_of_second(m_self, first, second, shift.second_share, now) ? std::optional(shift)
                                                                                      : std::nullopt;
}

std::vector<group_choice::group> group_choice::groups_of(const route& matched_route, time_point now,
                                                         const own_delay_function& own_delay)
{
    std::vector<group> groups;
    m_delays.remove_expired(now);
    for (const shard_plan::group& item : m_plan.groups_of(matched_route))
    {
        auto shift = shift_to_second(item, matched_route.objective, now, own_delay);
        if (shift)
        {
            if (item.runner_candidates[1] != m_self)
            {
                groups.push_back({item.runner_candidates[1], item.shards, std::move(shift)});
            }
            continue;
        }
        const auto peer = first_available(item, now);
        if (peer && *peer != m_self)
        {
            groups.push_back({*peer, item.shards});
        }
    }
    return groups;
}

std::optional<instance_name> group_choice::next_runner(const route& matched_route, std::size_t first_shard,
                                                       const instance_name& failed, time_point now)
{
    for (const shard_plan::group& item : m_plan.groups_of(matched_route))
    {
        if (item.shards.empty() || item.shards.front() != first_shard)
        {
            continue;
        }
        if (item.is_round_robin)
        {
            // No other candidate is closer to the replicas, so this instance runs the group itself.
            return m_self;
        }
        const auto found =
            std::find_if(item.runner_candidates.begin(), item.runner_candidates.end(),
                         [&](const instance_name& peer)
                         {
                             return peer != failed && (peer == m_self || is_available(peer, now));
                         });
        return found == item.runner_candidates.end() ? std::nullopt : std::optional(*found);
    }
    return std::nullopt;
}

void group_choice::failed(const instance_name& peer, time_point now)
{
    failures& known = m_backoffs[peer];
    if (known.until > now)
    {
        // Other open requests failed for the same reason: the back-off is extended once only.
        return;
    }
    known.length = std::clamp(known.length * 2.0, backoff, max_backoff);
    known.until = now + known.length;
}

void group_choice::answered(const instance_name& peer)
{
    m_backoffs.erase(peer);
}

void group_choice::on_delay_report(const instance_name& peer, duration delay, time_point now)
{
    m_delays.report(peer, delay, now);
}

void group_choice::drop_delay_report(const instance_name& peer)
{
    m_delays.drop(peer);
}

} // namespace flaxtiller
