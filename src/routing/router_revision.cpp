// Applies a new revision of the configuration to requests whose parts wait for a slot.

#include <flaxtiller/routing/router.hpp>

#include <utility>
#include <vector>

namespace flaxtiller
{

void router::apply_revision_to_waiting(const team_table& teams_before, time_point now)
{
    for (const request_number number : open_numbers())
    {
        const auto found = m_open.find(number);
        if (found == m_open.end())
        {
            continue;
        }
        open_request& opened = found->second;
        const std::shared_ptr<const route> current = m_view.routes->find_by_name(opened.matched_route->name);
        const team_name& sender = opened.request->team;
        // An owner may not have the team yet when a request is delegated to it; only a removal counts.
        const bool team_removed =
            !sender.empty() && teams_before.find(sender) != nullptr && m_view.teams->find(sender) == nullptr;
        if (!current || team_removed)
        {
            refuse_waiting_parts(opened, now);
            continue;
        }
        update_priority(opened, priority_of(*current, sender), now);
    }
}

/// Ends the parts that have no running attempt. The others continue.
void router::refuse_waiting_parts(const open_request& opened, time_point now)
{
    // Collected first, as the request may end while its parts are refused.
    std::vector<std::pair<scheduler_index, dispatch::subquery_id>> waiting;
    for (const part& item : opened.parts)
    {
        if (!item.is_finished && item.subquery != 0)
        {
            waiting.emplace_back(item.scheduler_id, item.subquery);
        }
    }
    for (const auto& [at, subquery] : waiting)
    {
        if (m_service_schedulers.at(at).scheduler.refuse_waiting(subquery, missing_reason::withdrawn, now))
        {
            collect(at, now);
        }
    }
}

void router::update_priority(open_request& opened, int priority, time_point now)
{
    if (priority == opened.priority)
    {
        return;
    }
    opened.priority = priority;
    std::vector<scheduler_index> affected_schedulers;
    for (const part& item : opened.parts)
    {
        if (!item.is_finished && item.subquery != 0)
        {
            m_service_schedulers.at(item.scheduler_id).scheduler.set_priority(item.subquery, priority, now);
            affected_schedulers.push_back(item.scheduler_id);
        }
    }
    // Collected at the end, as an action may end the request.
    for (const scheduler_index at : affected_schedulers)
    {
        collect(at, now);
    }
}

dispatch::waiting_counts router::waiting_work() const
{
    dispatch::waiting_counts counts;
    for (const auto& [at, item] : m_service_schedulers)
    {
        item.scheduler.add_waiting_work(counts);
    }
    return counts;
}

} // namespace flaxtiller
