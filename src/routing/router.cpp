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
/// An entry sends a backend server a few attempts a second; about ten of them are remembered.
constexpr duration failure_half_life = duration::from_ms(2000);

} // namespace

router::router(router_options options) : m_options(options)
{
    m_options.scheduling.extra_load_share = m_options.retry_ratio * m_options.retry_share;
    m_options.scheduling.direct = true;
    m_options.scheduling.late_by_server = true;
    m_options.scheduling.cancel_losers = false;
    m_options.scheduling.avoid_stuck = true;
    m_options.scheduling.failure_half_life = failure_half_life;
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

// ---------------------------------------------------------------------------------------------------------
// requests
// ---------------------------------------------------------------------------------------------------------

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

/// Refuses a fan-out of which too many shards have no backend server that could be asked: running the others
/// would only take their time.
/// @return whether it was refused
bool router::refuse_unservable(request_number number, const route& by, time_point now)
{
    std::vector<duration> returns;
    for (const service_name& service : by.fan_out)
    {
        duration retry_after = m_options.registration_retry;
        const dispatch::scheduler* scheduler = scheduler_of(service);
        if (scheduler == nullptr || scheduler->why_unavailable(0, now, retry_after) != missing_reason::none)
        {
            returns.push_back(retry_after);
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
    refuse(number, &by, missing_reason::no_backend_server, returns[returns.size() - 1 - may_miss]);
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

void router::arrive(request_number number, std::shared_ptr<const routed_request> request, time_point now)
{
    if (!m_view.placed)
    {
        refuse(number, nullptr, missing_reason::no_backend_server);
        return;
    }
    const auto by = m_view.routes->find(request->host, request->target);
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
    if (m_open.size() >= m_options.most_requests)
    {
        refuse(number, by.get(), missing_reason::overloaded);
        return;
    }
    if (by->fans_out() && !request->is_asked() && refuse_unservable(number, *by, now))
    {
        return;
    }
    open_request& opened = m_open[number];
    opened.by = by;
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
    ask_elsewhere(number, opened, now);
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
    run_here(number, wanted, opened.request->asked_again, now);
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
