#include <flaxtiller/routing/caller_admission.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void caller_admission::configure(const routing_view& view)
{
    const auto earlier = std::exchange(m_teams, view.teams);
    m_routes = view.routes;
    m_revision = view.placed ? view.placed->revision : 0;
    m_limiter.configure(m_teams->teams(), view.entries);
    std::erase_if(m_counted,
                  [&](const auto& item)
                  {
                      return m_teams->find(item.first) == nullptr;
                  });
    if (earlier && earlier != m_teams)
    {
        withdraw_keys(*earlier);
    }
}

void caller_admission::withdraw_keys(const team_table& earlier)
{
    std::vector<request_number> withdrawn;
    std::erase_if(m_keys,
                  [&](const auto& item)
                  {
                      const bool is_withdrawn =
                          m_teams->is_withdrawn(item.second.holder, item.second.digest, earlier);
                      if (is_withdrawn)
                      {
                          withdrawn.push_back(item.first);
                      }
                      return is_withdrawn;
                  });
    // In order of arrival, so that equal events give equal actions.
    std::sort(withdrawn.begin(), withdrawn.end());
    for (const request_number number : withdrawn)
    {
        const auto held = m_held.find(number);
        if (held == m_held.end())
        {
            m_withdrawn.push_back(number);
            continue;
        }
        m_limiter.cancel_request(number);
        // The active revision itself states that the key was withdrawn, whoever confirmed it.
        reject(number, absence_rule::outcome_of(routed_end::unauthorized), held->second.route);
        m_held.erase(held);
    }
}

std::vector<request_number> caller_admission::take_withdrawn()
{
    return std::exchange(m_withdrawn, {});
}

void caller_admission::admit(request_number number, routed_request request)
{
    if (!request.team.empty())
    {
        ++m_counted[request.team].admitted;
    }
    m_actions.emplace_back(admit_request{number, std::make_shared<const routed_request>(std::move(request))});
}

void caller_admission::reject(request_number number, routed_outcome result, const std::string& route,
                              std::optional<rate_limiter::decision> over_limit)
{
    result.route = route;
    result.revision = m_revision;
    if (over_limit)
    {
        result.retry_after = over_limit->retry_after;
        m_keys.erase(number);
        ++m_counted[over_limit->team].over_limit;
    }
    m_actions.emplace_back(reject_request{number, std::move(result), std::move(over_limit)});
}

void caller_admission::arrive(request_number number, routed_request request, const std::string& key,
                              time_point now)
{
    if (!m_teams)
    {
        // There is no configuration yet: the router refuses the request.
        admit(number, std::move(request));
        return;
    }
    const auto by = m_routes->find(request.host, request.target);
    const std::string route = by ? by->name : std::string();
    const authentication caller = m_teams->authenticate(by.get(), key);
    if (!caller.is_authorized)
    {
        reject(number, m_absence.outcome(routed_end::unauthorized, now), route);
        return;
    }
    if (caller.by == nullptr)
    {
        admit(number, std::move(request));
        return;
    }
    request.team = caller.by->name;
    m_keys.insert_or_assign(number, presented_key{request.team, caller.key});
    if (!by || !caller.by->limit.is_set())
    {
        admit(number, std::move(request));
        return;
    }
    const rate_limiter::decision limiter_decision = m_limiter.admit(number, *caller.by, now);
    if (limiter_decision.what == rate_limiter::verdict::awaiting_coordinator)
    {
        m_held.emplace(number, held_request{std::move(request), route, now});
        return;
    }
    apply(limiter_decision, std::move(request), route, now);
}

void caller_admission::apply(const rate_limiter::decision& limiter_decision, routed_request request,
                             const std::string& route, time_point now)
{
    if (limiter_decision.what == rate_limiter::verdict::admitted)
    {
        admit(limiter_decision.request, std::move(request));
        return;
    }
    rate_limiter::decision refused = limiter_decision;
    refused.retry_after = retry_after_of(refused, now);
    reject(limiter_decision.request, absence_rule::outcome_of(routed_end::over_limit), route,
           std::move(refused));
}

duration caller_admission::retry_after_of(const rate_limiter::decision& refused, time_point now)
{
    const team* by = m_teams->find(refused.team);
    if (!m_load.spreads_returns || by == nullptr)
    {
        return refused.retry_after;
    }
    m_retry_schedule.discard_passed(now);
    return m_retry_schedule.assign(refused.team, by->limit, refused.retry_after, now);
}

void caller_admission::caller_gone(request_number number)
{
    m_keys.erase(number);
    if (m_held.erase(number) > 0)
    {
        m_limiter.cancel_request(number);
    }
}

void caller_admission::on_limit_update(const limit_update& word, time_point now)
{
    m_limiter.on_limit_update(word, now);
}

void caller_admission::on_time(time_point now)
{
    m_limiter.on_time(now);
}

std::vector<admission_action> caller_admission::take_actions(time_point now)
{
    for (const rate_limiter::decision& limiter_decision : m_limiter.take_decisions())
    {
        const auto found = m_held.find(limiter_decision.request);
        if (found == m_held.end())
        {
            continue;
        }
        held_request held = std::move(found->second);
        m_held.erase(found);
        // The time spent waiting for the decision counts against the caller's time-out.
        held.request.patience = std::max(held.request.patience - (now - held.since), duration{});
        apply(limiter_decision, std::move(held.request), held.route, now);
    }
    if (auto report = m_limiter.take_report(now))
    {
        m_actions.emplace_back(send_limit_report{std::move(*report)});
    }
    if (auto report = m_limiter.take_witness_report(now))
    {
        m_actions.emplace_back(send_witness_report{std::move(*report)});
    }
    return std::exchange(m_actions, {});
}

} // namespace flaxtiller
