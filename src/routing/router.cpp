#include <flaxtiller/routing/router.hpp>

#include <flaxtiller/routing/top_records.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

router::router(router_options options)
    : m_options(std::move(options)),
      m_second_runs(m_options.retry_ratio * (1.0 - m_options.retry_share), m_options.retry_slack)
{
    m_options.scheduling.extra_load_share = m_options.retry_ratio * m_options.retry_share;
    m_options.scheduling.direct = true;
    m_options.scheduling.late_by_server = true;
    m_options.scheduling.cancel_losers = false;
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
    m_regions.configure(m_view);
    for (const auto& [name, placed] : m_view.placed->services)
    {
        lane_of(name);
    }
    // At least one, or an instance among many could never try again.
    const double own_slack = std::max(1.0, m_options.retry_slack * m_options.retry_share / m_view.entries);
    m_second_runs.limit(
        std::max(1.0, m_options.retry_slack * (1.0 - m_options.retry_share) / m_view.entries));
    const placed_service none{{}, {{}}};
    for (auto& [at, item] : m_lanes)
    {
        const auto found = m_view.placed->services.find(item.service);
        const placed_service& placed = found == m_view.placed->services.end() ? none : found->second;
        item.scheduler.limit_budget(own_slack);
        item.scheduler.configure(placed, m_view.entries, now);
    }
    for (auto at = m_lanes.begin(); at != m_lanes.end(); ++at)
    {
        collect(at->first, now);
    }
    drop_unused_lanes();
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

void router::refuse(request_number number, const route* by, missing_reason reason)
{
    routed_outcome told;
    told.end = routed_end::refused;
    told.reason = reason;
    told.retry_after = m_options.least_retry;
    told.route = by == nullptr ? std::string() : by->name;
    told.revision = m_view.placed ? m_view.placed->revision : 0;
    m_actions.emplace_back(answer_request{number, std::move(told)});
}

std::vector<service_name> router::services_of(const route& by, const routed_request& request)
{
    if (request.is_asked())
    {
        return request.asked_services;
    }
    if (by.fans_out())
    {
        return by.fan_out;
    }
    return {m_targets.next(by)};
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
    if (request->is_asked() && request->asked_revision != m_view.placed->revision)
    {
        refuse(number, nullptr, missing_reason::wrong_version);
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
    if (m_open.size() >= m_options.most_requests)
    {
        refuse(number, by.get(), missing_reason::overloaded);
        return;
    }
    open_request& opened = m_open[number];
    opened.by = by;
    const duration patience = std::max(request->patience - m_options.way_back, duration{});
    opened.deadline = now + std::min(patience, by->timeout);
    opened.answer_at = std::min(now + time_to_answer(*by, *request), opened.deadline);
    opened.request = std::move(request);
    set_timer(number, opened, opened.answer_at);
    for (const service_name& service : services_of(*by, *opened.request))
    {
        opened.parts.push_back({service, 0, 0, false, 0, nullptr});
    }
    ask_elsewhere(number, opened, now);
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
    run_here(number, wanted, now);
}

void router::run_here(request_number number, const std::vector<std::size_t>& wanted, time_point now)
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
        submit(opened, opened.parts[at], now);
    }
    // Collected only after all are submitted: an early end of one part must not answer before.
    for (const lane_index at : lanes)
    {
        collect(at, now);
    }
}

void router::set_timer(request_number number, open_request& opened, time_point at)
{
    m_timers.erase({opened.timer_at, number});
    opened.timer_at = at;
    m_timers.emplace(at, number);
}

// ---------------------------------------------------------------------------------------------------------
// other entries
// ---------------------------------------------------------------------------------------------------------

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
                                                opened.by->fans_out(), ordinal, opened.deadline,
                                                opened.request});
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
// answers
// ---------------------------------------------------------------------------------------------------------

/// What another entry asked for is of use to it whatever its share.
double router::least_share_of(const open_request& opened) const
{
    return opened.request->is_asked() ? 0.0 : opened.by->least_share;
}

bool router::enough_in(const open_request& opened) const
{
    const auto wanted = least_share_of(opened) * static_cast<double>(opened.parts.size());
    return opened.in > 0 && static_cast<double>(opened.in) >= wanted;
}

void router::settle(request_number number, open_request& opened, time_point now)
{
    if (opened.by->fans_out())
    {
        settle_fan_out(number, opened, now);
    }
    else
    {
        settle_single(number, opened);
    }
}

void router::settle_single(request_number number, open_request& opened)
{
    const part& asked = opened.parts.front();
    // Also a failure is the backend server's word: it is passed on where no success came.
    if (asked.answer)
    {
        routed_outcome told;
        told.end = routed_end::passed_on;
        told.answer = asked.answer;
        finish(number, opened, std::move(told));
        return;
    }
    fail(number, opened, opened.reason == missing_reason::late);
}

void router::settle_fan_out(request_number number, open_request& opened, time_point now)
{
    const auto all = static_cast<int>(opened.parts.size());
    const bool complete = opened.in + opened.missing == all;
    if (enough_in(opened) && (complete || opened.past_objective))
    {
        merge(number, opened);
        return;
    }
    const auto most_in = static_cast<double>(all - opened.missing);
    const bool hopeless = most_in < least_share_of(opened) * static_cast<double>(all) || most_in == 0.0;
    if (hopeless || complete)
    {
        fail(number, opened, now >= opened.deadline);
    }
}

void router::merge(request_number number, open_request& opened)
{
    routed_outcome told;
    told.end = routed_end::merged;
    std::vector<std::string_view> bodies;
    for (const part& asked : opened.parts)
    {
        if (asked.is_in())
        {
            bodies.emplace_back(asked.answer->body);
            told.signatures.push_back(asked.answer->signature);
        }
    }
    for (const group& asked : opened.groups)
    {
        if (!asked.outcome.signatures.empty())
        {
            bodies.emplace_back(asked.outcome.merged);
            told.signatures.insert(told.signatures.end(), asked.outcome.signatures.begin(),
                                   asked.outcome.signatures.end());
            told.elsewhere.push_back(asked.peer);
        }
    }
    told.missing = static_cast<int>(opened.parts.size() - told.signatures.size());
    told.merged = top_records(bodies, static_cast<std::size_t>(opened.by->top_records));
    finish(number, opened, std::move(told));
}

void router::fail(request_number number, open_request& opened, bool late)
{
    const bool running = std::any_of(opened.parts.begin(), opened.parts.end(),
                                     [](const part& asked)
                                     {
                                         return !asked.over;
                                     });
    routed_outcome told;
    told.end = routed_end::refused;
    if (opened.may_have_run || (running && opened.attempts > 0) || !opened.groups.empty())
    {
        told.end = late ? routed_end::late : routed_end::failed;
    }
    told.retry_after = std::max(opened.retry_after, m_options.least_retry);
    finish(number, opened, std::move(told));
}

std::vector<service_name> router::missing_services(const open_request& opened)
{
    std::vector<service_name> missing;
    if (!opened.by->fans_out())
    {
        return missing;
    }
    std::vector<bool> known_elsewhere(opened.parts.size(), false);
    for (const group& asked : opened.groups)
    {
        if (asked.outcome.signatures.empty())
        {
            continue;
        }
        missing.insert(missing.end(), asked.outcome.missing_services.begin(),
                       asked.outcome.missing_services.end());
        for (const std::size_t at : asked.parts)
        {
            known_elsewhere[at] = true;
        }
    }
    for (std::size_t at = 0; at < opened.parts.size(); ++at)
    {
        if (!known_elsewhere[at] && !opened.parts[at].is_in())
        {
            missing.push_back(opened.parts[at].service);
        }
    }
    return missing;
}

void router::finish(request_number number, open_request& opened, routed_outcome outcome)
{
    outcome.route = opened.by->name;
    outcome.revision = m_view.placed->revision;
    outcome.missing_services = missing_services(opened);
    outcome.reason = opened.reason;
    outcome.attempts = opened.attempts;
    for (const group& asked : opened.groups)
    {
        m_asks.erase(asked.number);
    }
    m_timers.erase({opened.timer_at, number});
    for (const part& asked : opened.parts)
    {
        if (!asked.over && asked.subquery != 0)
        {
            m_origins.erase(asked.subquery);
            m_lanes.at(asked.at).scheduler.detach(asked.subquery);
        }
    }
    m_open.erase(number);
    m_actions.emplace_back(answer_request{number, std::move(outcome)});
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
    if (opened.by->fans_out() && enough_in(opened))
    {
        merge(number, opened);
        return;
    }
    if (now >= opened.deadline)
    {
        fail(number, opened, true);
        return;
    }
    if (opened.past_objective)
    {
        set_timer(number, opened, opened.deadline);
        run_silent_groups_here(number, now);
        return;
    }
    opened.past_objective = true;
    const bool waits = !opened.groups.empty();
    set_timer(number, opened,
              waits ? std::min(now + m_options.elsewhere_grace, opened.deadline) : opened.deadline);
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
