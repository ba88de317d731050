// What happens to a request when it comes: its route and parts, or a refusal at once.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void router::refuse(request_number number, const route* by, missing_reason reason, duration retry_after)
{
    routed_outcome told;
    told.end = routed_end::refused;
    told.reason = reason;
    told.retry_after = std::max(m_options.least_retry, retry_after);
    told.route = by == nullptr ? std::string() : by->name;
    told.revision = m_view.placed ? m_view.placed->revision : 0;
    m_actions.emplace_back(answer_request{number, std::move(told)});
}

/// The entry that asked may not know yet, so it is told why.
void router::refuse_quarantined(request_number number, const route& by,
                                const request_fingerprint& fingerprint, time_point now)
{
    refuse(number, &by, missing_reason::quarantined, m_crashes.quarantine_left(fingerprint, now));
    std::get<answer_request>(m_actions.back()).outcome.crashes = {m_crashes.record_of(fingerprint, now)};
}

/// Refuses a fan-out of which too many shards have no backend server that could be asked: running the others
/// would only take their time.
/// @return whether it was refused
bool router::refuse_unservable(request_number number, const route& by,
                               const std::shared_ptr<const region_set>& regions, time_point now)
{
    std::vector<duration> returns;
    missing_reason reason = missing_reason::no_backend_server;
    for (const service_name& service : by.fan_out)
    {
        duration retry_after = m_options.registration_retry;
        const dispatch::scheduler* scheduler = scheduler_of(service);
        const missing_reason blocked = scheduler == nullptr
                                           ? missing_reason::no_backend_server
                                           : scheduler->why_unavailable(0, regions, now, retry_after);
        if (blocked != missing_reason::none)
        {
            returns.push_back(retry_after);
            reason = blocked;
        }
    }
    const auto all = static_cast<double>(by.fan_out.size());
    const double needed = by.least_share * all;
    if (all - static_cast<double>(returns.size()) >= needed && returns.size() < by.fan_out.size())
    {
        return false;
    }
    // It can be served once enough of them are back.
    std::sort(returns.begin(), returns.end());
    const auto may_miss = std::min(static_cast<std::size_t>(all - needed), returns.size() - 1);
    refuse(number, &by, reason, returns[returns.size() - 1 - may_miss]);
    return true;
}

std::vector<router::part> router::parts_of(const route& by, const routed_request& request)
{
    std::vector<part> parts;
    const auto add = [&](const service_name& service, std::size_t shard)
    {
        part& wanted = parts.emplace_back();
        wanted.service = service;
        wanted.shard = shard;
    };
    if (!by.fans_out())
    {
        add(m_targets.next(by), 0);
        return parts;
    }
    if (request.is_asked())
    {
        for (std::size_t i = 0; i < request.asked_shards.size(); ++i)
        {
            const std::size_t shard = request.asked_shards[i];
            add(by.fan_out.at(shard), shard);
            parts.back().designated =
                i < request.designated.size() ? request.designated[i] : backend_server_name();
        }
        return parts;
    }
    for (std::size_t shard = 0; shard < by.fan_out.size(); ++shard)
    {
        add(by.fan_out[shard], shard);
    }
    return parts;
}

/// How long a fan-out may wait for parts that are missing.
duration router::time_to_answer(const route& by, const routed_request& request) const
{
    if (request.is_asked())
    {
        return request.answer_within;
    }
    if (!by.fans_out() || by.objective <= duration{})
    {
        return by.timeout;
    }
    return std::max(by.objective * m_options.objective_share - m_options.way_back, duration{});
}

/// Both the asker's route and this entry's bind: they may be of different revisions.
std::shared_ptr<const region_set> router::regions_of(const route& by, const routed_request& request)
{
    region_set allowed = by.allowed_regions.intersection(request.asked_regions);
    return allowed.is_any() ? nullptr : std::make_shared<const region_set>(std::move(allowed));
}

/// @return the route as it holds for a team: the regions of both bind, wherever a place is chosen
std::shared_ptr<const route> router::route_for(const team_name& name, std::shared_ptr<const route> by)
{
    const team* sender = name.empty() ? nullptr : m_view.teams->find(name);
    if (sender == nullptr || sender->allowed_regions.is_any())
    {
        return by;
    }
    std::shared_ptr<const route>& bound = m_team_routes[{by->name, name}];
    if (!bound)
    {
        route narrowed = *by;
        narrowed.allowed_regions = by->allowed_regions.intersection(sender->allowed_regions);
        bound = std::make_shared<const route>(std::move(narrowed));
    }
    return bound;
}

/// @return whether another entry passed the request on to a region where it may not run
bool router::is_outside(const routed_request& request, const std::shared_ptr<const region_set>& regions) const
{
    return request.is_asked() && regions && !regions->allows(m_view.region);
}

void router::arrive(request_number number, std::shared_ptr<const routed_request> request, time_point now)
{
    if (!m_view.placed)
    {
        refuse(number, nullptr, missing_reason::no_backend_server);
        return;
    }
    const auto found = m_view.routes->find(request->host, request->target);
    const auto by = found ? route_for(request->team, found) : nullptr;
    if (!by)
    {
        routed_outcome told;
        told.end = routed_end::no_route;
        told.revision = m_view.placed->revision;
        m_actions.emplace_back(answer_request{number, std::move(told)});
        return;
    }
    const std::uint64_t list = by->fans_out() ? list_id(by->fan_out) : 0;
    const auto unknown = [&](std::size_t shard)
    {
        return shard >= by->fan_out.size();
    };
    const bool other_list = request->is_asked() && request->asked_list != list;
    if (other_list || std::any_of(request->asked_shards.begin(), request->asked_shards.end(), unknown))
    {
        refuse(number, by.get(), missing_reason::wrong_version);
        return;
    }
    const auto regions = regions_of(*by, *request);
    if (is_outside(*request, regions))
    {
        refuse(number, by.get(), missing_reason::no_allowed_region);
        return;
    }
    if (m_open.size() >= m_options.most_requests)
    {
        refuse(number, by.get(), missing_reason::overloaded);
        return;
    }
    if (by->fans_out() && !request->is_asked() && refuse_unservable(number, *by, regions, now))
    {
        return;
    }
    std::optional<request_fingerprint> fingerprint;
    auto standing = crash_ledger::standing::clear;
    if (!m_crashes.empty())
    {
        fingerprint = flaxtiller::fingerprint_of(*request);
        standing = m_crashes.standing_of(*fingerprint, now);
    }
    if (standing == crash_ledger::standing::quarantined)
    {
        refuse_quarantined(number, *by, *fingerprint, now);
        return;
    }
    open_request& opened = m_open[number];
    opened.fingerprint = std::move(fingerprint);
    opened.held = standing == crash_ledger::standing::suspect;
    opened.by = by;
    opened.regions = regions;
    opened.list = list;
    opened.revision = m_view.placed->revision;
    opened.arrived_at = now;
    const duration patience = std::max(request->patience - m_options.way_back, duration{});
    opened.deadline = now + std::min(patience, by->timeout);
    opened.answer_at = std::min(now + time_to_answer(*by, *request), opened.deadline);
    opened.request = std::move(request);
    if (opened.request->is_asked() && opened.request->progress_within > duration{})
    {
        opened.progress_at = now + opened.request->progress_within;
    }
    opened.parts = parts_of(*by, *opened.request);
    if (!opened.held)
    {
        ask_elsewhere(number, opened, now);
    }
    set_timer(number, opened);
    std::vector<bool> here(opened.parts.size(), true);
    for (const group& asked : opened.groups)
    {
        for (const std::size_t at : asked.parts)
        {
            here[at] = false;
        }
    }
    std::vector<std::size_t> wanted;
    for (std::size_t at = 0; at < here.size(); ++at)
    {
        if (here[at])
        {
            wanted.push_back(at);
        }
    }
    if (opened.held)
    {
        m_held.insert(number);
    }
    run_here(number, wanted, opened.request->asked_again, now);
    settle_held(now);
}

} // namespace flaxtiller
