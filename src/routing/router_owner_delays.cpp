// Delays of owners: what this instance states to delegating entries, and what other owners stated.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>

namespace flaxtiller
{

/// Both the choice of owners and admission use the delays. Outcomes state them only while one of these is
/// switched on.
bool router::uses_owner_delays() const noexcept
{
    return m_options.load.balances_owners || m_options.load.limits_admission;
}

/// @return the time that a group of shards of these services would wait at this instance
duration router::own_delay(const std::vector<service_name>& services, time_point now) const
{
    duration longest{};
    for (const service_name& service : services)
    {
        const dispatch::scheduler* scheduler = scheduler_of(service);
        if (scheduler != nullptr)
        {
            longest = std::max(longest, scheduler->estimated_wait(0));
        }
    }
    return m_processing_delay.at(now) + longest;
}

/// @return the time that the shards of a delegated request would wait at this instance if they were delegated
/// again; zero for a request of a caller
duration router::runner_delay_of(const open_request& opened, time_point now) const
{
    if (!opened.request->is_delegated() || !uses_owner_delays())
    {
        return {};
    }
    std::vector<service_name> services;
    services.reserve(opened.parts.size());
    for (const part& item : opened.parts)
    {
        services.push_back(item.service);
    }
    return own_delay(services, now);
}

std::vector<group_choice::group> router::choose_groups(const route& matched_route, time_point now)
{
    return m_groups.groups_of(matched_route, now,
                              [&](const std::vector<std::size_t>& shards)
                              {
                                  std::vector<service_name> services;
                                  services.reserve(shards.size());
                                  for (const std::size_t shard : shards)
                                  {
                                      services.push_back(matched_route.fan_out.at(shard));
                                  }
                                  return own_delay(services, now);
                              });
}

/// Records the delay that another entry stated with an outcome. A refusal without a delay is not a report, as
/// it may have been sent before the delay was known.
void router::record_owner_delay(const instance_name& peer, const routed_outcome& outcome, time_point now)
{
    const bool is_refusal = outcome.end == routed_end::refused || outcome.end == routed_end::no_route;
    const bool states_delay = outcome.runner_delay > duration{};
    if (uses_owner_delays() && m_peers.count(peer) > 0 && (states_delay || !is_refusal))
    {
        m_groups.on_delay_report(peer, outcome.runner_delay, now);
    }
}

} // namespace flaxtiller
