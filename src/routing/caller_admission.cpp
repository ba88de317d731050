#include <flaxtiller/routing/caller_admission.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void caller_admission::configure(const routing_view& view)
{
    m_routes = view.routes;
    m_teams = view.teams;
    m_revision = view.placed ? view.placed->revision : 0;
    m_limiter.configure(m_teams->teams(), view.entries);
    std::erase_if(m_counted,
                  [&](const auto& item)
                  {
                      return m_teams->find(item.first) == nullptr;
                  });
}

void caller_admission::admit(request_number number, routed_request request)
{
    if (!request.team.empty())
    {
        ++m_counted[request.team].admitted;
    }
    m_actions.emplace_back(admit_request{number, std::make_shared<const routed_request>(std::move(request))});
}

void caller_admission::turn_away(request_number number, routed_end end, const std::string& route,
                                 std::optional<rate_limiter::decision> over_limit)
{
    routed_outcome told;
    told.end = end;
    told.route = route;
    told.revision = m_revision;
    if (over_limit)
    {
        told.retry_after = over_limit->retry_after;
        ++m_counted[over_limit->team].over_limit;
    }
    m_actions.emplace_back(turn_away_request{number, std::move(told), std::move(over_limit)});
}

void caller_admission::arrive(request_number number, routed_request request, const std::string& key,
                              time_point now)
{
    if (!m_teams)
    {
        // No revision yet: the router refuses it.
        admit(number, std::move(request));
        return;
    }
    const auto by = m_routes->find(request.host, request.target);
    const std::string route = by ? by->name : std::string();
    const authentication caller = m_teams->authenticate(by.get(), key);
    if (!caller.is_authorized)
    {
        turn_away(number, routed_end::unauthorized, route);
        return;
    }
    if (caller.by == nullptr)
    {
        admit(number, std::move(request));
        return;
    }
    request.team = caller.by->name;
    if (!by || !caller.by->limit.is_set())
    {
        admit(number, std::move(request));
        return;
    }
    const rate_limiter::decision made = m_limiter.admit(number, *caller.by, now);
    if (made.what == rate_limiter::verdict::awaiting_coordinator)
    {
        m_held.emplace(number, held_request{std::move(request), route, now});
        return;
    }
    take(made, std::move(request), route);
}

void caller_admission::take(const rate_limiter::decision& made, routed_request request,
                            const std::string& route)
{
    if (made.what == rate_limiter::verdict::admitted)
    {
        admit(made.request, std::move(request));
        return;
    }
    turn_away(made.request, routed_end::over_limit, route, made);
}

void caller_admission::caller_gone(request_number number)
{
    if (m_held.erase(number) > 0)
    {
        m_limiter.cancel_request(number);
    }
}

void caller_admission::on_limit_word(const limit_update& word, time_point now)
{
    m_limiter.on_limit_update(word, now);
}

void caller_admission::on_time(time_point now)
{
    m_limiter.on_time(now);
}

std::vector<admission_action> caller_admission::take_actions(time_point now)
{
    for (const rate_limiter::decision& made : m_limiter.take_decisions())
    {
        const auto found = m_held.find(made.request);
        if (found == m_held.end())
        {
            continue;
        }
        held_request held = std::move(found->second);
        m_held.erase(found);
        // The caller has been waiting.
        held.request.patience = std::max(held.request.patience - (now - held.since), duration{});
        take(made, std::move(held.request), held.route);
    }
    if (auto report = m_limiter.take_report(now))
    {
        m_actions.emplace_back(report_use{std::move(*report)});
    }
    return std::exchange(m_actions, {});
}

} // namespace flaxtiller
