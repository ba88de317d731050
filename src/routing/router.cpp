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
/// With fewer parts all may well be on backend servers that are slow just now.
constexpr std::size_t enough_to_compare = 4;

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
    if (!view.peers.is_shared_with(m_view.peers))
    {
        m_peers.clear();
        for (const entry_peer& peer : *view.peers)
        {
            m_peers.emplace(peer.name, peer);
        }
    }
    const bool places_changed =
        !view.region_of_zone.is_shared_with(m_view.region_of_zone) || view.region != m_view.region;
    if (view.routes != m_view.routes || view.teams != m_view.teams)
    {
        m_team_routes.clear();
    }
    const shared_value<cold_servers> cold_before = m_view.cold;
    m_view = std::move(view);
    m_groups.configure(m_view);
    // Before the schedulers see a new backend server, lest what waits for one is sent to it all at once.
    limit_cold_servers(*cold_before, now);
    for (const auto& [name, placed] : m_view.placed->services)
    {
        configure_lane(lane_of(name), placed, places_changed, now);
    }
    drop_undeclared_lanes(now);
}

void router::limit_cold_servers(const cold_servers& before, time_point now)
{
    for (const auto& [name, cold] : before)
    {
        if (m_view.cold->count(name) == 0)
        {
            limit_cold(name, {cold.service, now}, now);
        }
    }
    for (const auto& [name, cold] : *m_view.cold)
    {
        limit_cold(name, cold, now);
    }
}

/// Each second a cold backend server gets from all instances together no more than its service says: beyond
/// that it falls over, and with it the part of the load that it could have borne.
void router::limit_cold(const backend_server_name& name, const cold_server& cold, time_point now)
{
    const auto placed = m_view.placed->services.find(cold.service);
    if (placed == m_view.placed->services.end() || placed->second->definition.warmup_requests_per_s <= 0.0)
    {
        return;
    }
    const dispatch::warmup_bound bound{placed->second->definition.warmup_requests_per_s,
                                       m_options.warmup_overage, m_options.warmup_slack};
    const shard_plan::sender own = m_groups.plan().rank_of(cold.service, name.str());
    const lane_index at = lane_of(cold.service);
    m_lanes.at(at).scheduler.limit_cold(name, cold.until,
                                        dispatch::warmup_share_of(bound, own.senders, own.rank), now);
    collect(at, now);
}

/// Only what changed is told: a scheduler that takes over its backend servers copies all of them.
void router::configure_lane(lane_index at, const shared_value<placed_service>& placed, bool places_changed,
                            time_point now)
{
    lane& item = m_lanes.at(at);
    const double slack = m_options.retry_slack * m_options.retry_share * allowance_of(item.service);
    if (slack != item.slack)
    {
        item.slack = slack;
        item.scheduler.limit_budget(slack * at_once, slack * (1.0 - at_once) / m_options.retry_window.ms());
    }
    const int sharers = sharers_of(item.service);
    if (!places_changed && sharers == item.sharers && placed.is_shared_with(item.placed))
    {
        return;
    }
    item.placed = placed;
    item.sharers = sharers;
    item.scheduler.set_places(m_view.region_of_zone, m_view.region);
    item.scheduler.configure(*placed, sharers, now);
    ++m_lanes_configured;
    collect(at, now);
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

/// Services that aren't declared any more keep what is under way and get nothing new.
void router::drop_undeclared_lanes(time_point now)
{
    if (m_lanes.size() == m_view.placed->services.size())
    {
        return;
    }
    // One object for all time, so that a lane that ends slowly is told only once.
    static const shared_value<placed_service> none(placed_service{{}, {{}}});
    for (auto at = m_lanes.begin(); at != m_lanes.end();)
    {
        const auto current = at++;
        lane& item = current->second;
        if (m_view.placed->services.count(item.service) > 0)
        {
            continue;
        }
        configure_lane(current->first, none, false, now);
        if (item.scheduler.is_idle())
        {
            m_due.erase({item.due, current->first});
            m_lane_of.erase(item.service);
            m_lanes.erase(current);
        }
    }
}

void router::note_due(lane_index at, lane& item)
{
    const time_point due = item.scheduler.next_time();
    if (due == item.due)
    {
        return;
    }
    m_due.erase({item.due, at});
    item.due = due;
    if (due != time_point::never())
    {
        m_due.emplace(due, at);
    }
}

void router::detach(const part& asked)
{
    lane& item = m_lanes.at(asked.at);
    item.scheduler.detach(asked.subquery);
    note_due(asked.at, item);
}

void router::run_here(request_number number, const std::vector<std::size_t>& wanted, bool again,
                      time_point now)
{
    open_request& opened = m_open.at(number);
    const double size = m_sizes.size_of(opened.by->name, opened.list);
    if (wanted.size() >= enough_to_compare)
    {
        opened.progress = std::make_shared<dispatch::fan_out_progress>();
    }
    std::vector<lane_index> lanes;
    for (const std::size_t at : wanted)
    {
        part& item = opened.parts[at];
        item.at = lane_of(item.service);
        item.subquery = m_next_subquery++;
        m_origins.emplace(item.subquery, origin{number, at});
        lanes.push_back(item.at);
    }
    for (const std::size_t at : wanted)
    {
        submit(opened, opened.parts[at], size, again, now);
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
    const started ended = std::move(found->second);
    m_started.erase(found);
    if (ended.by->fans_out() && result.status == dispatch::attempt_status::answered)
    {
        m_sizes.note(ended.by->name, ended.list, now - ended.since);
    }
    m_number_of.erase({ended.at, ended.attempt});
    end_trial(ended.subquery, now);
    if (result.hung_up)
    {
        observe_crash(ended, now);
    }
    else if (result.status == dispatch::attempt_status::answered && !m_crashes.empty())
    {
        observe_answer(ended, now);
    }
    const auto whose = m_origins.find(ended.subquery);
    if (whose != m_origins.end() && answer)
    {
        open_request& opened = m_open.at(whose->second.request);
        opened.parts[whose->second.part].answer = std::move(answer);
        if (opened.progress && result.status == dispatch::attempt_status::answered)
        {
            opened.progress->any_answered = true;
        }
    }
    const auto at = m_lanes.find(ended.at);
    if (at != m_lanes.end())
    {
        at->second.scheduler.on_result(ended.attempt, result, now);
        collect(ended.at, now);
    }
    settle_held(now);
    tell_crashes(now);
}

void router::collect(lane_index at, time_point now)
{
    lane& item = m_lanes.at(at);
    dispatch::scheduler& scheduler = item.scheduler;
    for (auto todo = scheduler.take_actions(); !todo.empty(); todo = scheduler.take_actions())
    {
        for (const dispatch::action& wanted : todo)
        {
            if (const auto* start = std::get_if<dispatch::start_attempt>(&wanted))
            {
                take(at, *start, now);
            }
            else if (const auto* cancel = std::get_if<dispatch::cancel_attempt>(&wanted))
            {
                take(at, *cancel);
            }
            else
            {
                take(at, std::get<dispatch::finish_subquery>(wanted), now);
            }
        }
    }
    note_due(at, item);
}

void router::take(lane_index at, const dispatch::start_attempt& action, time_point now)
{
    const routed_attempt_number number = m_next_attempt++;
    const origin& whose = m_origins.at(action.subquery);
    open_request& opened = m_open.at(whose.request);
    const bool on_trial = m_trial && m_trial->subquery == action.subquery;
    m_started.emplace(number, started{at, action.attempt, action.subquery, whose.request, opened.request,
                                      opened.by, opened.list, action.server, now, on_trial});
    m_number_of.emplace(std::pair(at, action.attempt), number);
    ++opened.attempts;
    const int ordinal = ++opened.parts[whose.part].attempts;
    m_actions.emplace_back(start_routed_attempt{number, whose.request, action.server, m_lanes.at(at).service,
                                                opened.by->fans_out(), ordinal, opened.by->repeatable,
                                                on_trial, opened.deadline, opened.request});
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
    const auto found = m_origins.find(action.subquery);
    if (found == m_origins.end())
    {
        return;
    }
    const origin whose = found->second;
    m_origins.erase(found);
    end_trial(action.subquery, now);
    const request_number number = whose.request;
    open_request& opened = m_open.at(number);
    opened.parts[whose.part].over = true;
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
    while (!m_due.empty() && m_due.begin()->first <= now)
    {
        const lane_index at = m_due.begin()->second;
        m_lanes.at(at).scheduler.on_time(now);
        collect(at, now);
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const request_number number = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        on_timer(number, now);
    }
    settle_held(now);
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
    const time_point request_due = m_timers.empty() ? time_point::never() : m_timers.begin()->first;
    const time_point lane_due = m_due.empty() ? time_point::never() : m_due.begin()->first;
    const time_point trial_due = m_held.empty() || m_trial ? time_point::never() : m_next_trial_at;
    return std::min({request_due, lane_due, trial_due});
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
