#include <flaxtiller/routing/group_choice.hpp>

#include <algorithm>

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

std::vector<group_choice::group> group_choice::groups_of(const route& matched_route, time_point now)
{
    std::vector<group> groups;
    for (const shard_plan::group& item : m_plan.groups_of(matched_route))
    {
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

} // namespace flaxtiller
