// What other entries run on this one's behalf.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void router::ask_elsewhere(request_number number, open_request& opened, time_point now)
{
    if (!opened.by->fans_out() || opened.request->is_asked())
    {
        return;
    }
    for (const region_choice::group& chosen : m_regions.groups_of(*opened.by, now))
    {
        ask_entry ask{m_next_ask++,
                      chosen.peer,
                      m_view.placed->revision,
                      {},
                      opened.deadline - now,
                      std::max(opened.answer_at - now - way_to(chosen.peer), duration::from_ms(1)),
                      opened.request};
        for (const std::size_t at : chosen.shards)
        {
            ask.services.push_back(opened.parts[at].service);
        }
        m_asks.emplace(ask.number, number);
        opened.groups.push_back({ask.number, chosen.peer, chosen.shards, now, false, {}});
        m_actions.emplace_back(std::move(ask));
    }
}

duration router::way_to(const instance_name& peer) const
{
    const auto known = m_ways.find(peer);
    return known == m_ways.end() ? m_options.first_way_elsewhere : known->second;
}

void router::note_way(const instance_name& peer, duration way)
{
    // A few answers suffice, and one that was held up doesn't count for much.
    constexpr double weight = 0.2;
    const auto known = m_ways.emplace(peer, way).first;
    known->second = known->second + (way - known->second) * weight;
}

/// Whether running it here as well can't bring any shard to more backend servers than the route allows.
bool router::may_run_twice(const open_request& opened) const
{
    return std::all_of(opened.parts.begin(), opened.parts.end(),
                       [&](const part& item)
                       {
                           const auto placed = m_view.placed->services.find(item.service);
                           return placed == m_view.placed->services.end() ||
                                  static_cast<int>(placed->second.shards.at(0).size()) <=
                                      opened.by->most_attempts;
                       });
}

void router::entry_answered(const instance_name& peer, ask_number number, const routed_outcome& outcome,
                            time_point now)
{
    const auto asked = m_asks.find(number);
    if (asked == m_asks.end())
    {
        return;
    }
    const request_number request = asked->second;
    m_asks.erase(asked);
    open_request& opened = m_open.at(request);
    const auto found = std::find_if(opened.groups.begin(), opened.groups.end(),
                                    [&](const group& item)
                                    {
                                        return item.number == number;
                                    });
    if (outcome.end != routed_end::merged)
    {
        m_regions.failed(peer, now);
        const bool not_run = outcome.end == routed_end::refused || outcome.end == routed_end::no_route;
        opened.may_have_run = opened.may_have_run || !not_run;
        if (not_run || (may_run_twice(opened) && m_second_runs.spend()))
        {
            run_group_here(request, *found, now);
            return;
        }
        drop_group(request, *found, outcome.reason, now);
        return;
    }
    m_second_runs.earn();
    note_way(peer, now - found->sent_at - outcome.took);
    found->over = true;
    found->outcome = outcome;
    opened.may_have_run = true;
    opened.in += static_cast<int>(outcome.signatures.size());
    opened.missing += static_cast<int>(found->parts.size() - outcome.signatures.size());
    opened.attempts += outcome.attempts;
    for (const std::size_t at : found->parts)
    {
        opened.parts[at].over = true;
    }
    settle(request, opened, now);
}

void router::run_group_here(request_number number, group& lost, time_point now)
{
    lost.over = true;
    m_asks.erase(lost.number);
    const std::vector<std::size_t> wanted = lost.parts;
    run_here(number, wanted, now);
}

void router::drop_group(request_number number, group& lost, missing_reason reason, time_point now)
{
    open_request& opened = m_open.at(number);
    lost.over = true;
    opened.missing += static_cast<int>(lost.parts.size());
    opened.reason = reason;
    for (const std::size_t at : lost.parts)
    {
        opened.parts[at].over = true;
    }
    settle(number, opened, now);
}

/// Past the objective, what an entry that is silent should have run is run here, as far as the budget goes;
/// else its answer may still come until the deadline.
void router::run_silent_groups_here(request_number number, time_point now)
{
    const std::size_t count = m_open.at(number).groups.size();
    for (std::size_t i = 0; i < count; ++i)
    {
        const auto found = m_open.find(number);
        if (found == m_open.end())
        {
            return;
        }
        group& asked = found->second.groups[i];
        if (asked.over)
        {
            continue;
        }
        m_regions.failed(asked.peer, now);
        if (may_run_twice(found->second) && m_second_runs.spend())
        {
            run_group_here(number, asked, now);
        }
    }
}

void router::submit(open_request& opened, part& wanted, time_point now)
{
    dispatch::subquery asked;
    asked.id = wanted.subquery;
    asked.deadline = opened.deadline;
    asked.repeatable = opened.by->repeatable;
    asked.most_attempts = opened.by->most_attempts;
    m_lanes.at(wanted.at).scheduler.submit(asked, now);
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
    m_open.erase(found);
    for (const group& asked : opened.groups)
    {
        if (!asked.over)
        {
            m_asks.erase(asked.number);
            m_actions.emplace_back(abandon_at_entry{asked.number, asked.peer});
        }
    }
    for (const part& asked : opened.parts)
    {
        m_origins.erase(asked.subquery);
        if (!asked.over && asked.subquery != 0)
        {
            m_lanes.at(asked.at).scheduler.abandon(asked.subquery, now);
            collect(asked.at, now);
        }
    }
}

} // namespace flaxtiller
