// The part of the class scheduler that determines why a subquery cannot be run now.

#include <flaxtiller/dispatch/scheduler.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

missing_reason scheduler::unavailable_reason(int shard, const std::shared_ptr<const region_set>& regions,
                                             time_point now, duration& retry_after) const
{
    if (!is_known_shard(shard))
    {
        return missing_reason::no_backend_server;
    }
    pending_subquery any;
    any.spec.shard = shard;
    any.spec.regions = regions;
    return blocked_reason(any, now, retry_after);
}

missing_reason scheduler::blocked_reason(const pending_subquery& item, time_point now,
                                         duration& retry_after) const
{
    const auto& replicas = m_shards[static_cast<std::size_t>(item.spec.shard)].replicas;
    bool any_staying = false;
    bool any_in_region = false;
    time_point soonest = time_point::never();
    for (const server_index index : replicas)
    {
        const server_state& server = m_servers[index];
        any_staying = any_staying || !server.is_leaving();
        any_in_region = any_in_region || (!server.is_leaving() && is_in_region(server, item));
        if (!is_eligible(server, item, now))
        {
            continue;
        }
        const time_point back = is_cold_without_share(server, now)
                                    ? std::max(server.ejected_until, server.cold_until)
                                    : server.ejected_until;
        if (back <= now)
        {
            return missing_reason::none;
        }
        soonest = std::min(soonest, back);
    }
    if (soonest != time_point::never())
    {
        retry_after = soonest - now;
        return missing_reason::no_backend_server;
    }
    if (!any_staying)
    {
        return missing_reason::no_backend_server;
    }
    return any_in_region ? missing_reason::wrong_version : missing_reason::no_allowed_region;
}

} // namespace flaxtiller::dispatch
