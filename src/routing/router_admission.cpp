// Arrival of requests: the choice of route and parts, or an immediate refusal.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void router::refuse(request_number number, const route* matched_route, missing_reason reason,
                    duration retry_after)
{
    routed_outcome result;
    result.end = routed_end::refused;
    result.reason = reason;
    result.retry_after = std::max(m_options.min_retry_after, retry_after);
    result.route = matched_route == nullptr ? std::string() : matched_route->name;
    result.revision = m_view.placed ? m_view.placed->revision : 0;
    m_actions.emplace_back(answer_request{number, std::move(result)});
}

/// The delegating entry may not have the crash record yet, so the outcome includes it.
void router::refuse_quarantined(request_number number, const route& matched_route,
                                const request_fingerprint& fingerprint, time_point now)
{
    refuse(number, &matched_route, missing_reason::quarantined,
           m_crashes.quarantine_time_left(fingerprint, now));
    std::get<answer_request>(m_actions.back()).outcome.crashes = {m_crashes.record_of(fingerprint, now)};
}

/// Refuses a fan-out if too many of its shards have no available backend server. Running the other shards
/// would only waste capacity.
/// @return whether the request was refused
bool router::refuse_unservable(request_number number, const route& matched_route,
                               const std::shared_ptr<const region_set>& regions, time_point now)
{
    std::vector<duration> retry_delays;
    missing_reason reason = missing_reason::no_backend_server;
    for (const service_name& service : matched_route.fan_out)
    {
        duration retry_after = m_options.registration_retry;
        const dispatch::scheduler* scheduler = scheduler_of(service);
        const missing_reason blocked = scheduler == nullptr
                                           ? missing_reason::no_backend_server
                                           : scheduler->unavailable_reason(0, regions, now, retry_after);
        if (blocked != missing_reason::none)
        {
            retry_delays.push_back(retry_after);
            reason = blocked;
        }
    }
    const auto all = static_cast<double>(matched_route.fan_out.size());
    const double needed = matched_route.least_share * all;
    if (all - static_cast<double>(retry_delays.size()) >= needed &&
        retry_delays.size() < matched_route.fan_out.size())
    {
        return false;
    }
    // The request can be served once enough of the shards are available again.
    std::sort(retry_delays.begin(), retry_delays.end());
    const auto allowed_missing = std::min(static_cast<std::size_t>(all - needed), retry_delays.size() - 1);
    refuse(number, &matched_route, reason, retry_delays[retry_delays.size() - 1 - allowed_missing]);
    return true;
}

std::vector<router::part> router::parts_of(const route& matched_route, const routed_request& request)
{
    std::vector<part> parts;
    const auto add = [&](const service_name& service, std::size_t shard)
    {
        part& added = parts.emplace_back();
        added.service = service;
        added.shard = shard;
    };
    if (!matched_route.fans_out())
    {
        add(m_targets.next(matched_route), 0);
        return parts;
    }
    if (request.is_delegated())
    {
        for (std::size_t i = 0; i < request.delegated_shards.size(); ++i)
        {
            const std::size_t shard = request.delegated_shards[i];
            add(matched_route.fan_out.at(shard), shard);
            parts.back().designated =
                i < request.designated.size() ? request.designated[i] : backend_server_name();
        }
        return parts;
    }
    for (std::size_t shard = 0; shard < matched_route.fan_out.size(); ++shard)
    {
        add(matched_route.fan_out[shard], shard);
    }
    return parts;
}

/// @return the time for which a fan-out waits for missing parts
duration router::time_to_answer(const route& matched_route, const routed_request& request) const
{
    if (request.is_delegated())
    {
        return request.answer_within;
    }
    if (!matched_route.fans_out() || matched_route.objective <= duration{})
    {
        return matched_route.timeout;
    }
    return std::max(matched_route.objective * m_options.objective_share - m_options.response_margin,
                    duration{});
}

/// @return the time in which an answer has its full value; the time-out of a route without an objective
duration router::time_to_objective(const route& matched_route, const routed_request& request) const
{
    if (request.is_delegated())
    {
        return request.answer_within;
    }
    if (matched_route.objective <= duration{})
    {
        return matched_route.timeout;
    }
    return std::max(matched_route.objective - m_options.response_margin, duration{});
}

/// The priority of a team takes precedence over that of the route.
int router::priority_of(const route& matched_route, const team_name& name) const
{
    const team* sender = name.empty() ? nullptr : m_view.teams->find(name);
    const bool has_own = sender != nullptr && sender->priority;
    return has_own ? *sender->priority : matched_route.priority;
}

/// @return the rules of the entry that took the request
execution_rules router::rules_for(const route& matched_route, const routed_request& request)
{
    execution_rules rules = request.delegated_rules.value_or(rules_of(matched_route));
    if (request.is_delegated() && !request.delegated_rules)
    {
        // An older process delegated the request. It leaves out records by its own rules, which aren't known
        // here.
        rules.top_records = execution_rules::all_records;
    }
    return rules;
}

/// @return the regions that are allowed by this entry's route and by the delegating entry's route, which may
/// be of different revisions
std::shared_ptr<const region_set> router::regions_of(const route& matched_route,
                                                     const routed_request& request)
{
    region_set allowed = matched_route.allowed_regions.intersection(request.delegated_regions);
    return allowed.is_any() ? nullptr : std::make_shared<const region_set>(std::move(allowed));
}

/// @return the route restricted to the regions that the team allows
std::shared_ptr<const route> router::route_for(const team_name& name,
                                               std::shared_ptr<const route> matched_route)
{
    const team* sender = name.empty() ? nullptr : m_view.teams->find(name);
    if (sender == nullptr || sender->allowed_regions.is_any())
    {
        return matched_route;
    }
    std::shared_ptr<const route>& bound = m_team_routes[{matched_route->name, name}];
    if (!bound)
    {
        route narrowed = *matched_route;
        narrowed.allowed_regions = matched_route->allowed_regions.intersection(sender->allowed_regions);
        bound = std::make_shared<const route>(std::move(narrowed));
    }
    return bound;
}

/// @return whether another entry delegated the request to a region in which it may not run
bool router::is_outside(const routed_request& request, const std::shared_ptr<const region_set>& regions) const
{
    return request.is_delegated() && regions && !regions->allows(m_view.region);
}

void router::arrive(request_number number, std::shared_ptr<const routed_request> request, time_point now)
{
    follow_load(now);
    if (!m_view.placed)
    {
        refuse(number, nullptr, missing_reason::no_backend_server);
        return;
    }
    const auto found = m_view.routes->find(request->host, request->target);
    const auto matched_route = found ? route_for(request->team, found) : nullptr;
    if (!matched_route)
    {
        // Between entries, the delegating one has the route and runs the shards itself.
        routed_outcome result = request->is_delegated() ? absence_rule::outcome_of(routed_end::no_route)
                                                        : m_absence.outcome(routed_end::no_route, now);
        result.revision = m_view.placed->revision;
        m_actions.emplace_back(answer_request{number, std::move(result)});
        return;
    }
    const std::uint64_t list = matched_route->fans_out() ? list_id(matched_route->fan_out) : 0;
    const auto unknown = [&](std::size_t shard)
    {
        return shard >= matched_route->fan_out.size();
    };
    const bool other_list = request->is_delegated() && request->delegated_list != list;
    if (other_list ||
        std::any_of(request->delegated_shards.begin(), request->delegated_shards.end(), unknown))
    {
        refuse(number, matched_route.get(), missing_reason::wrong_version);
        return;
    }
    const auto regions = regions_of(*matched_route, *request);
    if (is_outside(*request, regions))
    {
        refuse(number, matched_route.get(), missing_reason::no_allowed_region);
        return;
    }
    if (m_open.size() >= m_options.max_open_requests)
    {
        refuse_at_greatest_bound(number, *matched_route, *request, now);
        return;
    }
    if (matched_route->fans_out() && !request->is_delegated() &&
        refuse_unservable(number, *matched_route, regions, now))
    {
        spread_last_refusal(*matched_route, *request, now);
        return;
    }
    std::optional<request_fingerprint> fingerprint;
    auto quarantine_state = crash_ledger::quarantine_state::clear;
    if (!m_crashes.empty())
    {
        fingerprint = flaxtiller::fingerprint_of(*request);
        quarantine_state = m_crashes.quarantine_state_of(*fingerprint, now);
    }
    if (quarantine_state == crash_ledger::quarantine_state::quarantined)
    {
        refuse_quarantined(number, *matched_route, *fingerprint, now);
        return;
    }
    const admission_decision decision = decide_admission(*matched_route, *request, now);
    if (!decision.is_admitted())
    {
        refuse_overloaded(number, *matched_route, *request, decision, now);
        return;
    }
    open_request& opened = m_open[number];
    opened.fingerprint = std::move(fingerprint);
    opened.held = quarantine_state == crash_ledger::quarantine_state::suspect;
    opened.matched_route = matched_route;
    opened.rules = rules_for(*opened.matched_route, *request);
    opened.regions = regions;
    opened.list = list;
    opened.revision = m_view.placed->revision;
    opened.arrived_at = now;
    const duration patience = std::max(request->patience - m_options.response_margin, duration{});
    // A delegating entry has subtracted what its own route's time-out takes off.
    opened.deadline = now + (request->is_delegated() ? patience : std::min(patience, matched_route->timeout));
    opened.answer_at = std::min(now + time_to_answer(*matched_route, *request), opened.deadline);
    opened.objective_at = std::min(now + time_to_objective(*matched_route, *request), opened.deadline);
    opened.waits_within_objective =
        decision.decided == admission_decision::verdict::admitted && decision.expected.wait > duration{};
    if (decision.decided == admission_decision::verdict::admitted_late)
    {
        // Late for the order of the queues from the start, so that all shards order it alike.
        opened.objective_at = now;
    }
    opened.priority = priority_of(*matched_route, request->team);
    m_open_limit.on_open(opened.priority, request->is_delegated());
    opened.request = std::move(request);
    if (opened.request->is_delegated() && opened.request->progress_within > duration{})
    {
        opened.progress_at = now + opened.request->progress_within;
    }
    opened.parts = parts_of(*matched_route, *opened.request);
    if (!opened.held)
    {
        delegate_groups(number, opened, now);
    }
    set_timer(number, opened);
    std::vector<bool> runs_locally(opened.parts.size(), true);
    for (const group& delegated_group : opened.groups)
    {
        for (const std::size_t at : delegated_group.parts)
        {
            runs_locally[at] = false;
        }
    }
    std::vector<std::size_t> local_parts;
    for (std::size_t at = 0; at < runs_locally.size(); ++at)
    {
        if (runs_locally[at])
        {
            local_parts.push_back(at);
        }
    }
    if (opened.held)
    {
        m_held.insert(number);
    }
    run_locally(number, local_parts, opened.request->is_repeated_delegation, now);
    process_held(now);
}

} // namespace flaxtiller
