#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

/// The owners share the connections with a few more entries, whose view may differ for a short time.
constexpr int extra_sharers = 2;
/// While the number of instances is unknown, each instance uses one connection and a small share of the retry
/// budget.
constexpr int sharers_if_unknown = 1000;
constexpr double budget_share_if_unknown = 0.01;
/// Half of the slack may be spent in a burst, and half accrues over the window, so no window exceeds the
/// slack.
constexpr double burst_share = 0.5;
/// With fewer parts, all of them may be on backend servers that are temporarily slow.
constexpr std::size_t min_parts_to_compare = 4;

} // namespace

router::router(router_options options)
    : m_options(options), m_groups(options.load.balances_owners), m_next_delegation(options.first_number),
      m_open_limit(options.max_open_requests), m_returns(options.min_retry_after)
{
    m_options.scheduling.extra_load_share = m_options.retry_ratio * m_options.retry_share;
    m_options.scheduling.direct = true;
    m_options.scheduling.overdue_by_server = true;
    m_options.scheduling.cancel_losers = false;
    m_options.scheduling.avoid_stalled = true;
    m_options.scheduling.orders_by_priority = m_options.load.orders_by_priority;
    m_options.scheduling.retries_refused = m_options.load.reads_server_load;
    m_options.scheduling.reads_server_load = m_options.load.reads_server_load;
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

router::scheduler_index router::scheduler_index_of(const service_name& service)
{
    const auto known = m_scheduler_indexes.find(service);
    if (known != m_scheduler_indexes.end())
    {
        return known->second;
    }
    const scheduler_index at = m_next_scheduler++;
    m_scheduler_indexes.emplace(service, at);
    m_service_schedulers.emplace(at, service_scheduler{service, dispatch::scheduler(m_options.scheduling)});
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
    const bool revised = view.routes != m_view.routes || view.teams != m_view.teams;
    if (revised)
    {
        m_team_routes.clear();
    }
    const shared_value<cold_servers> cold_before = m_view.cold;
    const std::shared_ptr<const team_table> teams_before = m_view.teams;
    m_view = std::move(view);
    m_groups.configure(m_view);
    m_open_limit.set_shortest_objective(m_view.routes->shortest_objective());
    if (revised && m_options.load.orders_by_priority)
    {
        // Before the schedulers see new backend servers, to which waiting work would be sent at once.
        apply_revision_to_waiting(*teams_before, now);
    }
    // Limited before the schedulers see a new backend server; otherwise the whole queue would be sent to it
    // at once.
    limit_cold_servers(*cold_before, now);
    for (const auto& [name, placed] : m_view.placed->services)
    {
        configure_scheduler(scheduler_index_of(name), placed, places_changed, now);
    }
    drop_undeclared_services(now);
}

void router::limit_cold_servers(const cold_servers& before, time_point now)
{
    for (const auto& [name, cold] : before)
    {
        if (m_view.cold->count(name) == 0)
        {
            set_warmup_limit(name, {cold.service, now}, now);
        }
    }
    for (const auto& [name, cold] : *m_view.cold)
    {
        set_warmup_limit(name, cold, now);
    }
}

/// Limits the rate of requests that all instances together send to a cold backend server to its service's
/// warm-up rate. Beyond that rate the backend server fails, and the load within its capacity is lost as well.
void router::set_warmup_limit(const backend_server_name& name, const cold_server& cold, time_point now)
{
    const auto placed = m_view.placed->services.find(cold.service);
    if (placed == m_view.placed->services.end() || placed->second->definition.warmup_requests_per_s <= 0.0)
    {
        return;
    }
    const dispatch::warmup_bound bound{placed->second->definition.warmup_requests_per_s,
                                       m_options.warmup_overage, m_options.warmup_slack};
    const shard_plan::sender own = m_groups.plan().rank_of(cold.service, name.str());
    const scheduler_index at = scheduler_index_of(cold.service);
    m_service_schedulers.at(at).scheduler.set_warmup_limit(
        name, cold.until, dispatch::warmup_share_of(bound, own.senders, own.rank), now);
    collect(at, now);
}

/// Configures the scheduler only if an input changed, as each configuration copies all backend servers.
void router::configure_scheduler(scheduler_index at, const shared_value<placed_service>& placed,
                                 bool places_changed, time_point now)
{
    service_scheduler& item = m_service_schedulers.at(at);
    const double slack = m_options.retry_slack * m_options.retry_share * retry_budget_share_of(item.service);
    if (slack != item.slack)
    {
        item.slack = slack;
        item.scheduler.limit_budget(slack * burst_share,
                                    slack * (1.0 - burst_share) / m_options.retry_window.ms());
    }
    const int sharers = connection_sharers_of(item.service);
    if (!places_changed && sharers == item.sharers && placed.is_shared_with(item.placed))
    {
        return;
    }
    item.placed = placed;
    item.sharers = sharers;
    item.scheduler.set_regions(m_view.region_of_zone, m_view.region);
    item.scheduler.configure(*placed, sharers, now);
    ++m_schedulers_configured;
    collect(at, now);
}

std::set<instance_name> router::owners_to_link() const
{
    return m_groups.plan().linked_owners();
}

int router::connection_sharers_of(const service_name& service) const
{
    const shard_plan& plan = m_groups.plan();
    if (!plan.is_owned(service))
    {
        return m_view.entries > 0 ? m_view.entries : sharers_if_unknown;
    }
    return static_cast<int>(plan.owners_of(service)) + extra_sharers;
}

/// @return this instance's share of the service's retry budget
double router::retry_budget_share_of(const service_name& service) const
{
    const shard_plan& plan = m_groups.plan();
    if (!plan.is_owned(service))
    {
        return m_view.entries > 0 ? 1.0 / m_view.entries : budget_share_if_unknown;
    }
    if (plan.owns(service))
    {
        return m_options.owner_budget_share / static_cast<double>(plan.owners_of(service));
    }
    return (1.0 - m_options.owner_budget_share) / m_view.entries;
}

/// Removes the backend servers of services that are no longer declared. Their running attempts continue, and
/// the scheduler is deleted once it is idle.
void router::drop_undeclared_services(time_point now)
{
    if (m_service_schedulers.size() == m_view.placed->services.size())
    {
        return;
    }
    // The object is static so that a scheduler with running attempts is configured with it only once.
    static const shared_value<placed_service> none(placed_service{{}, {{}}});
    for (auto at = m_service_schedulers.begin(); at != m_service_schedulers.end();)
    {
        const auto current = at++;
        service_scheduler& item = current->second;
        if (m_view.placed->services.count(item.service) > 0)
        {
            continue;
        }
        configure_scheduler(current->first, none, false, now);
        if (item.scheduler.is_idle())
        {
            m_due.erase({item.due, current->first});
            m_scheduler_indexes.erase(item.service);
            m_service_schedulers.erase(current);
        }
    }
}

void router::note_due(scheduler_index at, service_scheduler& item)
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

void router::detach(const part& detached)
{
    service_scheduler& item = m_service_schedulers.at(detached.scheduler_id);
    item.scheduler.detach(detached.subquery);
    note_due(detached.scheduler_id, item);
}

void router::run_locally(request_number number, const std::vector<std::size_t>& part_indexes, bool again,
                         time_point now)
{
    open_request& opened = m_open.at(number);
    const double size = m_route_latencies.relative_latency(opened.matched_route->name, opened.list);
    if (part_indexes.size() >= min_parts_to_compare)
    {
        opened.progress = std::make_shared<dispatch::fan_out_progress>();
    }
    std::vector<scheduler_index> affected_schedulers;
    for (const std::size_t at : part_indexes)
    {
        part& item = opened.parts[at];
        item.scheduler_id = scheduler_index_of(item.service);
        item.subquery = m_next_subquery++;
        m_subquery_owners.emplace(item.subquery, subquery_owner{number, at});
        affected_schedulers.push_back(item.scheduler_id);
    }
    for (const std::size_t at : part_indexes)
    {
        submit(opened, opened.parts[at], size, again, now);
    }
    // Actions are collected after all parts are submitted: one part that ends at once must not cause an
    // answer before that.
    for (const scheduler_index at : affected_schedulers)
    {
        collect(at, now);
    }
}

/// Sets the request's timer to its earliest due time.
void router::set_timer(request_number number, open_request& opened)
{
    m_timers.erase({opened.timer_at, number});
    opened.timer_at = std::min({opened.past_objective ? opened.deadline : opened.answer_at,
                                opened.progress_at, opened.group_check_at, opened.deadline});
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
    if (ended.matched_route->fans_out() && result.status == dispatch::attempt_status::answered)
    {
        m_route_latencies.note(ended.matched_route->name, ended.list, now - ended.since);
    }
    m_number_of.erase({ended.scheduler_id, ended.attempt});
    end_trial(ended.subquery, now);
    if (result.hung_up)
    {
        observe_crash(ended, now);
    }
    else if (result.status == dispatch::attempt_status::answered && !m_crashes.empty())
    {
        observe_answer(ended, now);
    }
    const auto owner = m_subquery_owners.find(ended.subquery);
    if (owner != m_subquery_owners.end() && answer)
    {
        open_request& opened = m_open.at(owner->second.request);
        opened.parts[owner->second.part].answer = std::move(answer);
        if (opened.progress && result.status == dispatch::attempt_status::answered)
        {
            opened.progress->any_answered = true;
        }
    }
    const auto at = m_service_schedulers.find(ended.scheduler_id);
    if (at != m_service_schedulers.end())
    {
        at->second.scheduler.on_result(ended.attempt, result, now);
        collect(ended.scheduler_id, now);
    }
    process_held(now);
    publish_crash_changes(now);
}

void router::collect(scheduler_index at, time_point now)
{
    service_scheduler& item = m_service_schedulers.at(at);
    dispatch::scheduler& scheduler = item.scheduler;
    for (auto todo = scheduler.take_actions(); !todo.empty(); todo = scheduler.take_actions())
    {
        for (const dispatch::action& requested : todo)
        {
            if (const auto* start = std::get_if<dispatch::start_attempt>(&requested))
            {
                apply(at, *start, now);
            }
            else if (const auto* cancel = std::get_if<dispatch::cancel_attempt>(&requested))
            {
                apply(at, *cancel);
            }
            else
            {
                apply(at, std::get<dispatch::finish_subquery>(requested), now);
            }
        }
    }
    note_due(at, item);
}

void router::apply(scheduler_index at, const dispatch::start_attempt& action, time_point now)
{
    const auto known = m_subquery_owners.find(action.subquery);
    if (known == m_subquery_owners.end())
    {
        // The request ended by what another scheduler decided before this attempt was sent.
        m_service_schedulers.at(at).scheduler.on_not_sent(action.attempt, now);
        return;
    }
    const routed_attempt_number number = m_next_attempt++;
    const subquery_owner& owner = known->second;
    open_request& opened = m_open.at(owner.request);
    const bool on_trial = m_trial && m_trial->subquery == action.subquery;
    m_started.emplace(number, started{at, action.attempt, action.subquery, owner.request, opened.request,
                                      opened.matched_route, opened.list, action.server, now, on_trial});
    m_number_of.emplace(std::pair(at, action.attempt), number);
    ++opened.attempts;
    const int ordinal = ++opened.parts[owner.part].attempts;
    m_actions.emplace_back(
        start_routed_attempt{number, owner.request, action.server, m_service_schedulers.at(at).service,
                             opened.matched_route->fans_out(), ordinal, opened.rules.repeatable, on_trial,
                             opened.deadline, opened.request});
}

void router::apply(scheduler_index at, const dispatch::cancel_attempt& action)
{
    const auto found = m_number_of.find({at, action.attempt});
    if (found != m_number_of.end())
    {
        m_actions.emplace_back(cancel_routed_attempt{found->second});
    }
}

void router::apply(scheduler_index, const dispatch::finish_subquery& action, time_point now)
{
    const auto found = m_subquery_owners.find(action.subquery);
    if (found == m_subquery_owners.end())
    {
        return;
    }
    const subquery_owner owner = found->second;
    m_subquery_owners.erase(found);
    end_trial(action.subquery, now);
    const request_number number = owner.request;
    open_request& opened = m_open.at(number);
    opened.parts[owner.part].is_finished = true;
    const subquery_result& result = action.result;
    opened.may_have_run = opened.may_have_run || result.outcome != outcome::not_run;
    if (result.outcome == outcome::run)
    {
        ++opened.succeeded;
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
    end_delay_probe(now);
    while (!m_due.empty() && m_due.begin()->first <= now)
    {
        const scheduler_index at = m_due.begin()->second;
        m_service_schedulers.at(at).scheduler.on_time(now);
        collect(at, now);
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now)
    {
        const request_number number = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        on_timer(number, now);
    }
    process_held(now);
}

void router::on_timer(request_number number, time_point now)
{
    open_request& opened = m_open.at(number);
    opened.past_objective = opened.past_objective || now >= opened.answer_at;
    if (opened.past_objective && opened.matched_route->fans_out() && has_min_share(opened) &&
        !opened.request->is_delegated())
    {
        merge(number, opened, now);
        return;
    }
    if (now >= opened.deadline)
    {
        end_at_deadline(number, opened, now);
        return;
    }
    if (now >= opened.progress_at)
    {
        // Sent twice: first to show that the request is being run, and again when the delegating entry's
        // objective is near.
        opened.progress_at = now < opened.answer_at ? opened.answer_at : time_point::never();
        send_progress(number, opened, now);
    }
    const bool check_groups = now >= opened.group_check_at;
    if (check_groups)
    {
        // Checked twice: when the partial outcome is due, and again after the objective.
        const time_point second_check = opened.answer_at + m_options.silence_recheck_delay;
        opened.group_check_at = now < opened.answer_at ? second_check : time_point::never();
    }
    set_timer(number, opened);
    if (check_groups)
    {
        reassign_silent_groups(number, now);
    }
}

time_point router::next_time() const noexcept
{
    const time_point request_due = m_timers.empty() ? time_point::never() : m_timers.begin()->first;
    const time_point scheduler_due = m_due.empty() ? time_point::never() : m_due.begin()->first;
    const time_point trial_due = m_held.empty() || m_trial ? time_point::never() : m_next_trial_at;
    return std::min({request_due, scheduler_due, trial_due, delay_probe_due()});
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
    const auto found = m_scheduler_indexes.find(service);
    return found == m_scheduler_indexes.end() ? nullptr : &m_service_schedulers.at(found->second).scheduler;
}

} // namespace flaxtiller
