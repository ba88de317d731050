#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

/// Connections are shared by the owners and a few more, whose view differs for a moment.
constexpr int spare_sharers = 2;
/// While it isn't known how many instances there are, each takes one connection and a small part of the
/// allowance.
constexpr int unknown_sharers = 1000;
constexpr double unknown_allowance = 0.01;
/// Half of the slack may be spent at once, and half comes with time: no window sees more than all of it.
constexpr double at_once = 0.5;

} // namespace

router::router(router_options options) : m_options(options)
{
    m_options.scheduling.extra_load_share = m_options.retry_ratio * m_options.retry_share;
    m_options.scheduling.direct = true;
    m_options.scheduling.late_by_server = true;
    m_options.scheduling.cancel_losers = false;
    m_options.scheduling.avoid_stuck = true;
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

router::lane_index router::lane_of(const service_name& service)
{
    const auto known = m_lane_of.find(service);
    if (known != m_lane_of.end())
    {
        return known->second;
    }
    const lane_index at = m_next_lane++;
    m_lane_of.emplace(service, at);
    m_lanes.emplace(at, lane{service, dispatch::scheduler(m_options.scheduling)});
    return at;
}

void router::configure(routing_view view, time_point now)
{
    m_view = std::move(view);
    m_groups.configure(m_view);
    m_peers.clear();
    for (const entry_peer& peer : m_view.peers)
    {
        m_peers.emplace(peer.name, peer);
    }
    for (const auto& [name, placed] : m_view.placed->services)
    {
        lane_of(name);
    }
    std::set<std::string> near_zones;
    for (const auto& [zone, region] : m_view.region_of_zone)
    {
        if (region == m_view.region)
        {
            near_zones.insert(zone);
        }
    }
    const placed_service none{{}, {{}}};
    for (auto& [at, item] : m_lanes)
    {
        const auto found = m_view.placed->services.find(item.service);
        const placed_service& placed = found == m_view.placed->services.end() ? none : found->second;
        const double slack = m_options.retry_slack * m_options.retry_share * allowance_of(item.service);
        item.scheduler.limit_budget(slack * at_once, slack * (1.0 - at_once) / m_options.retry_window.ms());
        item.scheduler.set_near(near_zones);
        item.scheduler.configure(placed, sharers_of(item.service), now);
    }
    for (auto at = m_lanes.begin(); at != m_lanes.end(); ++at)
    {
        collect(at->first, now);
    }
    drop_unused_lanes();
}

std::set<instance_name> router::owners_asked() const
{
    return m_groups.plan().first_owners();
}

int router::sharers_of(const service_name& service) const
{
    const shard_plan& plan = m_groups.plan();
    if (!plan.is_owned(service))
    {
        return m_view.entries > 0 ? m_view.entries : unknown_sharers;
    }
    return static_cast<int>(plan.owners_of(service)) + spare_sharers;
}

/// This instance's share of what operators allow beyond the first attempts over all instances.
double router::allowance_of(const service_name& service) const
{
    const shard_plan& plan = m_groups.plan();
    if (!plan.is_owned(service))
    {
        return m_view.entries > 0 ? 1.0 / m_view.entries : unknown_allowance;
    }
    if (plan.owns(service))
    {
        return m_options.owners_share / static_cast<double>(plan.owners_of(service));
    }
    return (1.0 - m_options.owners_share) / m_view.entries;
}

void router::drop_unused_lanes()
{
    for (auto at = m_lanes.begin(); at != m_lanes.end();)
    {
        const dispatch::scheduler& scheduler = at->second.scheduler;
        const bool declared = m_view.placed->services.count(at->second.service) > 0;
        if (declared || scheduler.queued() > 0 || scheduler.running() > 0)
        {
            ++at;
            continue;
        }
        m_lane_of.erase(at->second.service);
        at = m_lanes.erase(at);
    }
}

void router::run_here(request_number number, const std::vector<std::size_t>& wanted, bool again,
                      time_point now)
{
    open_request& opened = m_open.at(number);
    std::vector<lane_index> lanes;
    for (const std::size_t at : wanted)
    {
        part& item = opened.parts[at];
        item.at = lane_of(item.service);
        item.subquery = m_next_subquery++;
        m_origins.emplace(item.subquery, number);
        lanes.push_back(item.at);
    }
    for (const std::size_t at : wanted)
    {
        submit(opened, opened.parts[at], again, now);
    }
    // Collected only after all are submitted: an early end of one part must not answer before.
    for (const lane_index at : lanes)
    {
        collect(at, now);
    }
}

/// Sets the timer for whatever is due first.
void router::set_timer(request_number number, open_request& opened)
{
    m_timers.erase({opened.timer_at, number});
    opened.timer_at = std::min({opened.past_objective ? opened.deadline : opened.answer_at,
                                opened.progress_at, opened.group_late_at, opened.deadline});
    m_timers.emplace(opened.timer_at, number);
}

// ---------------------------------------------------------------------------------------------------------
// attempts
// ---------------------------------------------------------------------------------------------------------

void router::attempt_ended(routed_attempt_number attempt, const dispatch::attempt_result& result,
                           std::shared_ptr<const backend_answer> answer, time_point now)
{
    const auto found = m_started.find(attempt);
    if (found == m_started.end())
    {
        return;
    }
    const started ended = found->second;
    m_started.erase(found);
    m_number_of.erase({ended.at, ended.attempt});
    const auto origin = m_origins.find(ended.subquery);
    if (origin != m_origins.end() && answer)
    {
        part_of(m_open.at(origin->second), ended.subquery).answer = std::move(answer);
    }
    const auto at = m_lanes.find(ended.at);
    if (at != m_lanes.end())
    {
        at->second.scheduler.on_result(ended.attempt, result, now);
        collect(ended.at, now);
    }
}

router::part& router::part_of(open_request& opened, dispatch::subquery_id subquery)
{
    return *std::find_if(opened.parts.begin(), opened.parts.end(),
                         [&](const part& asked)
                         {
                             return asked.subquery == subquery;
                         });
}

void router::collect(lane_index at, time_point now)
{
    dispatch::scheduler& scheduler = m_lanes.at(at).scheduler;
    for (auto todo = scheduler.take_actions(); !todo.empty(); todo = scheduler.take_actions())
    {
        for (const dispatch::action& item : todo)
        {
            if (const auto* start = std::get_if<dispatch::start_attempt>(&item))
            {
                take(at, *start);
            }
            else if (const auto* cancel = std::get_if<dispatch::cancel_attempt>(&item))
            {
                take(at, *cancel);
            }
            else
            {
                take(at, std::get<dispatch::finish_subquery>(item), now);
            }
        }
    }
}

void router::take(lane_index at, const dispatch::start_attempt& action)
{
    const routed_attempt_number number = m_next_attempt++;
    m_started.emplace(number, started{at, action.attempt, action.subquery});
    m_number_of.emplace(std::pair(at, action.attempt), number);
    const request_number request = m_origins.at(action.subquery);
    open_request& opened = m_open.at(request);
    ++opened.attempts;
    const int ordinal = ++part_of(opened, action.subquery).attempts;
    m_actions.emplace_back(start_routed_attempt{number, request, action.server, m_lanes.at(at).service,
                                                opened.by->fans_out(), ordinal, opened.by->repeatable,
                                                opened.deadline, opened.request});
}

void router::take(lane_index at, const dispatch::cancel_attempt& action)
{
    const auto found = m_number_of.find({at, action.attempt});
    if (found != m_number_of.end())
    {
        m_actions.emplace_back(cancel_routed_attempt{found->second});
    }
}

void router::take(lane_index, const dispatch::finish_subquery& action, time_point now)
{
    const auto origin = m_origins.find(action.subquery);
    if (origin == m_origins.end())
    {
        return;
    }
    const request_number number = origin->second;
    m_origins.erase(origin);
    open_request& opened = m_open.at(number);
    part_of(opened, action.subquery).over = true;
    const subquery_result& result = action.result;
    opened.may_have_run = opened.may_have_run || result.outcome != outcome::not_run;
    if (result.outcome == outcome::run)
    {
        ++opened.in;
    }
    else
    {
        ++opened.missing;
        opened.reason = result.reason;
        opened.retry_after = std::max(opened.retry_after, result.retry_after);
    }
    settle(number, opened, now);
}

// ---------------------------------------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------------------------------------

void router::on_time(time_point now)
{
    for (auto at = m_lanes.begin(); at != m_lanes.end(); ++at)
    {
        if (at->second.scheduler.next_time() <= now)
        {
            at->second.scheduler.on_time(now);
            collect(at->first, now);
        }
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const request_number number = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        on_timer(number, now);
    }
}

void router::on_timer(request_number number, time_point now)
{
    open_request& opened = m_open.at(number);
    opened.past_objective = opened.past_objective || now >= opened.answer_at;
    if (opened.past_objective && opened.by->fans_out() && enough_in(opened) && !opened.request->is_asked())
    {
        merge(number, opened);
        return;
    }
    if (now >= opened.deadline)
    {
        end_at_deadline(number, opened);
        return;
    }
    if (now >= opened.progress_at)
    {
        // Told twice: that it is being run, and what is in when the asker's objective is near.
        opened.progress_at = now < opened.answer_at ? opened.answer_at : time_point::never();
        tell_progress(number, opened, now);
    }
    const bool groups_late = now >= opened.group_late_at;
    if (groups_late)
    {
        // Looked at twice: when the first word was due, and past the objective.
        const time_point second_look = opened.answer_at + m_options.elsewhere_grace;
        opened.group_late_at = now < opened.answer_at ? second_look : time_point::never();
    }
    set_timer(number, opened);
    if (groups_late)
    {
        move_silent_groups(number, now);
    }
}

time_point router::next_time() const noexcept
{
    time_point next = m_timers.empty() ? time_point::never() : m_timers.begin()->first;
    for (const auto& [at, item] : m_lanes)
    {
        next = std::min(next, item.scheduler.next_time());
    }
    return next;
}

std::vector<router_action> router::take_actions()
{
    return std::exchange(m_actions, {});
}

std::size_t router::open_requests() const noexcept
{
    return m_open.size();
}

const dispatch::scheduler* router::scheduler_of(const service_name& service) const
{
    const auto found = m_lane_of.find(service);
    return found == m_lane_of.end() ? nullptr : &m_lanes.at(found->second).scheduler;
}

} // namespace flaxtiller
