// Delegation of groups of shards to other entries, and submission and abandonment of parts.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace flaxtiller
{

// ---------------------------------------------------------------------------------------------------------
// delegating
// ---------------------------------------------------------------------------------------------------------

void router::delegate_groups(request_number number, open_request& opened, time_point now)
{
    if (!opened.matched_route->fans_out() || opened.request->is_delegated())
    {
        return;
    }
    const auto chosen_groups = choose_groups(*opened.matched_route, now);
    opened.designates_servers = !chosen_groups.empty() && !fits_attempt_limit(opened);
    for (const group_choice::group& chosen : chosen_groups)
    {
        group& target_group = opened.groups.emplace_back();
        target_group.parts = chosen.shards;
        delegate_group(number, opened, target_group, chosen.peer, false, now, chosen.shift);
    }
}

void router::delegate_group(request_number number, open_request& opened, group& target_group,
                            const instance_name& peer, bool again, time_point now,
                            std::optional<owner_shift> shift)
{
    delegate_shards sent;
    sent.shift = std::move(shift);
    sent.number = m_next_delegation++;
    sent.peer = peer;
    sent.list = opened.list;
    sent.patience = opened.deadline - now;
    const duration round_trip = round_trip_to(peer);
    sent.answer_within = std::max(opened.answer_at - now - round_trip, duration::from_ms(1));
    sent.progress_within = sent.answer_within * m_options.progress_share;
    sent.again = again;
    sent.regions = opened.matched_route->allowed_regions;
    sent.rules = opened.rules;
    sent.sent = opened.request;
    const auto listed = m_peers.find(peer);
    const bool first = target_group.delegations.empty();
    const bool designates_servers = opened.designates_servers && first && listed != m_peers.end();
    for (const std::size_t at : target_group.parts)
    {
        sent.shards.push_back(opened.parts[at].shard);
        if (designates_servers)
        {
            target_group.designated.push_back(
                designated_of(opened, opened.parts[at].service, listed->second));
        }
    }
    sent.designated = target_group.designated;
    const time_point progress_due = now + sent.progress_within + round_trip + m_options.progress_grace;
    opened.group_check_at = std::min(opened.group_check_at, progress_due);
    m_delegations.emplace(sent.number, number);
    delegation& sent_delegation = target_group.delegations.emplace_back();
    sent_delegation.number = sent.number;
    sent_delegation.peer = peer;
    sent_delegation.sent_at = now;
    m_actions.emplace_back(std::move(sent));
}

duration router::round_trip_to(const instance_name& peer) const
{
    const auto listed = m_peers.find(peer);
    const std::string& region_name = listed == m_peers.end() ? m_view.region : listed->second.region;
    const auto known = m_round_trips.find(region_name);
    if (known != m_round_trips.end())
    {
        return known->second;
    }
    return region_name == m_view.region ? m_options.initial_round_trip_near
                                        : m_options.initial_round_trip_far;
}

void router::record_round_trip(const instance_name& peer, duration round_trip)
{
    // The average adapts within a few answers, and a single delayed answer has little influence.
    constexpr double weight = 0.2;
    const auto listed = m_peers.find(peer);
    if (listed == m_peers.end())
    {
        return;
    }
    const auto known = m_round_trips.emplace(listed->second.region, round_trip).first;
    known->second = known->second + (round_trip - known->second) * weight;
}

// ---------------------------------------------------------------------------------------------------------
// reassigning
// ---------------------------------------------------------------------------------------------------------

/// @return whether a second entry may run the shards without exceeding the route's limit on attempts, as no
/// shard has more replicas than that
bool router::fits_attempt_limit(const open_request& opened) const
{
    return std::all_of(opened.parts.begin(), opened.parts.end(),
                       [&](const part& item)
                       {
                           const auto placed = m_view.placed->services.find(item.service);
                           return placed == m_view.placed->services.end() ||
                                  static_cast<int>(placed->second->shards.at(0).size()) <=
                                      opened.rules.most_attempts;
                       });
}

/// @return the allowed backend server that is nearest to the entry; the first by name of several. A leaving
/// backend server comes last.
backend_server_name router::designated_of(const open_request& opened, const service_name& service,
                                          const entry_peer& near) const
{
    constexpr int leaving_penalty = 3;
    const auto placed = m_view.placed->services.find(service);
    backend_server_name chosen;
    int nearest = std::numeric_limits<int>::max();
    for (std::size_t i = 0;
         placed != m_view.placed->services.end() && i < placed->second->shards.at(0).size(); ++i)
    {
        const backend_server& server = placed->second->shards[0][i];
        const auto region = m_view.region_of_zone->find(server.availability_zone);
        const std::string region_name =
            region == m_view.region_of_zone->end() ? std::string() : region->second;
        if (opened.regions && !opened.regions->allows(region_name))
        {
            continue;
        }
        const bool same_region = !region_name.empty() && region_name == near.region;
        const int distance = (server.availability_zone == near.availability_zone ? 0
                              : same_region                                      ? 1
                                                                                 : 2) +
                             (server.leaving ? leaving_penalty : 0);
        if (distance < nearest)
        {
            chosen = server.name;
            nearest = distance;
        }
    }
    return chosen;
}

bool router::group_has_retry_budget(const open_request& opened, const group& target_group) const
{
    return std::all_of(target_group.parts.begin(), target_group.parts.end(),
                       [&](std::size_t at)
                       {
                           const dispatch::scheduler* scheduler = scheduler_of(opened.parts[at].service);
                           return scheduler != nullptr && scheduler->has_budget();
                       });
}

/// Runs a delegated group on this instance, if the retry budget allows it.
/// @return whether the group was started
bool router::run_group_locally(request_number number, group& failed_group, bool again, time_point now)
{
    open_request& opened = m_open.at(number);
    const bool owned = m_groups.plan().is_owned(opened.parts[failed_group.parts.front()].service);
    const bool can_repeat = !owned && group_has_retry_budget(opened, failed_group);
    if ((again && !can_repeat) || !failed_group.outcome.signatures.empty())
    {
        return false;
    }
    failed_group.is_finished = true;
    for (const delegation& sent : failed_group.delegations)
    {
        // The outcome of a silent entry is ignored from now on, but it may run the shards.
        opened.may_have_run = opened.may_have_run || !sent.is_finished;
        m_delegations.erase(sent.number);
    }
    const std::vector<std::size_t> wanted_parts = failed_group.parts;
    for (std::size_t i = 0; again && i < failed_group.designated.size(); ++i)
    {
        opened.parts[wanted_parts[i]].designated = failed_group.designated[i];
    }
    run_locally(number, wanted_parts, again, now);
    return true;
}

/// Delegates a group to the next candidate, or runs it on this instance.
/// @return whether the group was reassigned
bool router::reassign_group(request_number number, group& failed_group, bool again, time_point now)
{
    open_request& opened = m_open.at(number);
    if (is_held_or_quarantined(opened, now))
    {
        return false;
    }
    constexpr std::size_t max_delegations = 2;
    if (again && (!opened.rules.repeatable || failed_group.delegations.size() >= max_delegations))
    {
        return false;
    }
    const auto next = m_groups.next_runner(*opened.matched_route, failed_group.parts.front(),
                                           failed_group.delegations.back().peer, now);
    if (!next || *next == m_view.self)
    {
        return run_group_locally(number, failed_group, again, now);
    }
    delegate_group(number, opened, failed_group, *next, again, now);
    return true;
}

void router::reassign_silent_groups(request_number number, time_point now)
{
    const std::size_t count = m_open.at(number).groups.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto found = m_open.find(number);
        if (found == m_open.end())
        {
            return;
        }
        group& delegated_group = found->second.groups[i];
        if (delegated_group.is_silent())
        {
            m_groups.failed(delegated_group.delegations.back().peer, now);
            // If the group can't be reassigned, its outcome may still arrive before the deadline.
            (void)reassign_group(number, delegated_group, true, now);
        }
    }
}

void router::on_entry_disconnected(const instance_name& peer, time_point now)
{
    m_groups.failed(peer, now);
    m_groups.drop_delay_report(peer);
    std::vector<std::pair<request_number, std::size_t>> affected_groups;
    for (auto& [number, opened] : m_open)
    {
        for (std::size_t i = 0; i < opened.groups.size(); ++i)
        {
            group& delegated_group = opened.groups[i];
            for (delegation& sent : delegated_group.delegations)
            {
                if (sent.peer == peer && !sent.is_finished)
                {
                    // An outcome may have been lost with the link, so a later one may be incomplete and is
                    // ignored.
                    sent.is_finished = true;
                    m_delegations.erase(sent.number);
                    opened.may_have_run = true;
                }
            }
            if (!delegated_group.is_finished && !delegated_group.is_awaited())
            {
                affected_groups.emplace_back(number, i);
            }
        }
    }
    for (const auto& [number, at] : affected_groups)
    {
        const auto found = m_open.find(number);
        if (found != m_open.end() && !found->second.groups[at].is_finished)
        {
            replace_delegation(number, found->second.groups[at], true, now);
        }
    }
}

/// Handles a group whose last delegation has failed. Received parts are kept; a group without any is
/// reassigned.
void router::replace_delegation(request_number number, group& delegated_group, bool again, time_point now)
{
    if (delegated_group.outcome.signatures.empty() && reassign_group(number, delegated_group, again, now))
    {
        return;
    }
    open_request& opened = m_open.at(number);
    end_group(opened, delegated_group);
    settle(number, opened, now);
}

// ---------------------------------------------------------------------------------------------------------
// running and stopping
// ---------------------------------------------------------------------------------------------------------

void router::submit(open_request& opened, part& submitted, double size, bool again, time_point now)
{
    dispatch::subquery new_subquery;
    new_subquery.id = submitted.subquery;
    new_subquery.deadline = opened.deadline;
    new_subquery.repeatable = opened.rules.repeatable;
    new_subquery.most_attempts = opened.rules.most_attempts;
    new_subquery.again = again;
    new_subquery.designated = submitted.designated;
    new_subquery.regions = opened.regions;
    new_subquery.size = size;
    new_subquery.held = opened.held;
    new_subquery.fan_out = opened.progress;
    new_subquery.priority = opened.priority;
    new_subquery.team = opened.request->team;
    new_subquery.objective_at = opened.objective_at;
    m_service_schedulers.at(submitted.scheduler_id).scheduler.submit(new_subquery, now);
}

void router::abandon_delegations(const open_request& opened, bool stops)
{
    for (const group& delegated_group : opened.groups)
    {
        for (const delegation& sent : delegated_group.delegations)
        {
            if (m_delegations.erase(sent.number) > 0)
            {
                m_actions.emplace_back(abandon_delegation{sent.number, sent.peer, stops});
            }
        }
    }
}

void router::detach_parts(const open_request& opened)
{
    for (const part& requested_part : opened.parts)
    {
        if (!requested_part.is_finished && requested_part.subquery != 0)
        {
            m_subquery_owners.erase(requested_part.subquery);
            detach(requested_part);
        }
    }
}

void router::no_longer_awaited(request_number number)
{
    const auto found = m_open.find(number);
    if (found != m_open.end())
    {
        m_timers.erase({found->second.timer_at, number});
        detach_parts(found->second);
        m_open_limit.on_end(found->second.priority, found->second.request->is_delegated());
        m_open.erase(found);
        forget_held(number);
    }
}

void router::caller_gone(request_number number, time_point now)
{
    const auto found = m_open.find(number);
    if (found == m_open.end())
    {
        return;
    }
    const open_request opened = std::move(found->second);
    m_timers.erase({opened.timer_at, number});
    m_open_limit.on_end(opened.priority, opened.request->is_delegated());
    m_open.erase(found);
    forget_held(number);
    abandon_delegations(opened, true);
    for (const part& requested_part : opened.parts)
    {
        m_subquery_owners.erase(requested_part.subquery);
        if (!requested_part.is_finished && requested_part.subquery != 0)
        {
            m_service_schedulers.at(requested_part.scheduler_id)
                .scheduler.abandon(requested_part.subquery, now);
            collect(requested_part.scheduler_id, now);
        }
    }
}

} // namespace flaxtiller
