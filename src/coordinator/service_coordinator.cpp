// Handles timers, configuration changes, and the choice of shard owners.

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

service_coordinator::service_coordinator(instance_name self, service_name service, options settings,
                                         std::uint64_t first_serial)
    : m_self(std::move(self)), m_service(std::move(service)), m_options(settings),
      m_scheduler(settings.scheduling), m_next_serial(first_serial)
{
}

void service_coordinator::handle(const coordinator_event& new_event, time_point now)
{
    // Expired queries are completed before the event is handled. Otherwise a process that was suspended for a
    // long time would act on outdated state.
    expire(now);
    std::visit(
        [&](const auto& event)
        {
            on(event, now);
        },
        new_event);
    collect_scheduler_actions(now);
}

std::vector<coordinator_action> service_coordinator::take_actions()
{
    for (auto& [peer, batch] : std::exchange(m_abandoned_for_peers, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    for (auto& [peer, batch] : std::exchange(m_delegations, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    for (auto& [peer, batch] : std::exchange(m_results_for_peers, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    return std::exchange(m_actions, {});
}

time_point service_coordinator::next_time() const noexcept
{
    const time_point deadline = m_deadlines.empty() ? time_point::never() : m_deadlines.begin()->first;
    return std::min(deadline, m_scheduler.next_time());
}

std::size_t service_coordinator::open_queries() const noexcept
{
    return m_queries.size();
}

const dispatch::scheduler& service_coordinator::scheduler() const noexcept
{
    return m_scheduler;
}

const version_availability& service_coordinator::versions() const noexcept
{
    return m_versions;
}

// ---------------------------------------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::expire(time_point now)
{
    m_scheduler.on_time(now);
    collect_scheduler_actions(now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        const query_id id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        open_query& query = m_queries.at(id);
        query.execution.on_deadline();
        finish_if_complete(id, query, now);
    }
}

void service_coordinator::on(const time_passed&, time_point)
{
}

// ---------------------------------------------------------------------------------------------------------
// configuration and peers
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::on(const placement_changed& event, time_point now)
{
    const auto previous = m_placed;
    m_placed = event.placed;
    const auto found = m_placed->services.find(m_service);
    const placed_service no_shards;
    const placed_service& placed = found == m_placed->services.end() ? no_shards : *found->second;
    if (previous && previous->services.count(m_service) > 0 &&
        previous->services.at(m_service)->shards.size() != placed.shards.size())
    {
        m_versions.clear();
        m_peer_waits.clear();
    }
    rank_owners();
    const auto instances = static_cast<int>(m_placed->instances.size());
    m_scheduler.configure(placed, dispatch::candidate_count(placed, std::max(instances, 1)), now);
}

void service_coordinator::rank_owners()
{
    m_candidates.clear();
    const auto found = m_placed->services.find(m_service);
    if (found == m_placed->services.end())
    {
        return;
    }
    const auto shards = static_cast<int>(found->second->shards.size());
    const int groups = (shards + dispatch::shards_per_group - 1) / dispatch::shards_per_group;
    for (int group = 0; group < groups; ++group)
    {
        m_candidates.push_back(dispatch::owner_candidates(m_service, group, *m_placed));
    }
}

instance_name service_coordinator::owner_of(int shard) const
{
    const auto group = static_cast<std::size_t>(shard / dispatch::shards_per_group);
    if (group >= m_candidates.size())
    {
        return m_self;
    }
    for (const instance_name& candidate : m_candidates[group])
    {
        if (candidate == m_self || m_reachable.count(candidate) > 0)
        {
            return candidate;
        }
    }
    // No candidate is reachable. Each instance has a reserved share of the connections, which allows this
    // instance to execute the subqueries itself.
    return m_self;
}

void service_coordinator::on(const peer_reachable& event, time_point now)
{
    if (event.reachable)
    {
        m_reachable.insert(event.peer);
        return;
    }
    m_reachable.erase(event.peer);
    std::vector<std::pair<std::uint64_t, delegated_part>> lost_parts;
    for (const auto& [number, delegated] : m_delegated)
    {
        if (delegated.owner == event.peer)
        {
            lost_parts.emplace_back(number, delegated);
        }
    }
    std::sort(lost_parts.begin(), lost_parts.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first < b.first;
              });
    for (const auto& [number, delegated] : lost_parts)
    {
        m_delegated.erase(number);
        const auto query = m_queries.find(delegated.query);
        if (query == m_queries.end())
        {
            continue;
        }
        if (query->second.request.repeatable)
        {
            route(delegated.query, query->second, delegated.part, now);
            continue;
        }
        subquery_result lost;
        lost.shard = delegated.part.shard;
        lost.outcome = outcome::unknown;
        lost.reason = missing_reason::owner_unreachable;
        on_part_result(delegated.query, number, lost, now);
    }
    std::vector<std::uint64_t> abandoned;
    for (const auto& [key, id] : m_peer_subqueries)
    {
        if (key.first == event.peer && m_subquery_origins.at(id).repeatable)
        {
            abandoned.push_back(key.second);
        }
    }
    on(peer_abandoned{event.peer, abandoned}, now);
}

void service_coordinator::on(const listed& event, time_point now)
{
    m_scheduler.set_leaving(event.server, event.leaving, now);
}

} // namespace flaxtiller
