// Admission under load: the inputs of the estimate, the refusal, and the times at which callers may return.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

/// Five probes in an interval of the bound on open requests, so that their average follows within a few.
constexpr duration delay_probe_interval = duration::from_ms(20);
/// Of the candidates of a group, these are considered as its runners.
constexpr std::size_t likely_runners = 2;
/// Callers wait at most this part of their remaining time before they send a refused request again.
constexpr double longest_wait_share = 1.0 / 3.0;

} // namespace

/// @return the time of the next timer that only measures the delay of this process. The other timers aren't
/// enough for this: under overload they are often no longer needed by the time at which they are handled.
time_point router::delay_probe_due() const noexcept
{
    return m_options.load.limits_admission && !m_open.empty() ? m_delay_probe_at : time_point::never();
}

void router::end_delay_probe(time_point now)
{
    if (now >= m_delay_probe_at)
    {
        m_delay_probe_at = now + delay_probe_interval;
    }
}

/// Takes in what happened since the last arrival.
void router::follow_load(time_point now)
{
    if (m_open.empty())
    {
        m_delay_probe_at = now + delay_probe_interval;
    }
    if (m_options.load.limits_admission || m_options.load.spreads_returns)
    {
        m_open_limit.update(m_processing_delay.at(now), now);
    }
    if (m_options.load.spreads_returns)
    {
        m_returns.note_answers(std::exchange(m_answered, 0), now);
    }
}

/// @return the inputs of a decision, without a verdict
admission_decision router::load_inputs(const route& matched_route, const routed_request& request,
                                       time_point now)
{
    admission_decision inputs;
    const duration patience = std::max(request.patience - m_options.response_margin, duration{});
    inputs.deadline = std::min(patience, matched_route.timeout);
    inputs.objective = std::min(time_to_objective(matched_route, request), inputs.deadline);
    inputs.margin = m_completion_margin.share();
    inputs.priority = priority_of(matched_route, request.team);
    inputs.bound = m_open_limit.bound();
    inputs.open = m_open_limit.open();
    inputs.processing_delay = m_processing_delay.at(now);
    inputs.expected = expected_completion(matched_route, inputs.priority, false, now);
    return inputs;
}

/// Decides before anything is sent. A request that another entry delegated is always admitted: refusing its
/// shards would cost the whole request there, after work was done for it.
admission_decision router::decide_admission(const route& matched_route, const routed_request& request,
                                            time_point now)
{
    using verdict = admission_decision::verdict;
    using timeliness = completion_estimate::timeliness;
    admission_decision decision;
    if (!m_options.load.limits_admission || request.is_delegated())
    {
        return decision;
    }
    decision = load_inputs(matched_route, request, now);
    const timeliness expected = completion_estimate::compare(
        decision.expected, decision.objective * (1.0 - decision.margin), decision.deadline);
    if (expected == timeliness::too_late)
    {
        decision.decided = verdict::past_deadline;
        return decision;
    }
    const bool late = expected == timeliness::late;
    if (late && m_options.load.orders_by_priority)
    {
        // Late work also waits for the late work before it.
        decision.expected = expected_completion(matched_route, decision.priority, true, now);
        if (decision.expected.time > decision.deadline)
        {
            decision.decided = verdict::past_deadline;
            return decision;
        }
    }
    // Queues that are ordered by deadline alone would run late work before work that can meet its objective.
    if (late && !m_options.load.orders_by_priority)
    {
        decision.decided = verdict::past_objective;
        return decision;
    }
    if (!m_open_limit.admits(decision.priority, late))
    {
        decision.decided = verdict::too_many_open;
        return decision;
    }
    decision.decided = late ? verdict::admitted_late : verdict::admitted;
    return decision;
}

void router::refuse_overloaded(request_number number, const route& matched_route,
                               const routed_request& request, const admission_decision& decision,
                               time_point now)
{
    // The queues are short enough for the objective after this time.
    const duration excess = std::max(decision.expected.time - decision.objective, duration{});
    refuse(number, &matched_route, missing_reason::overloaded, excess);
    std::get<answer_request>(m_actions.back()).outcome.admission = decision;
    spread_last_refusal(matched_route, request, now);
}

/// Refuses a request at @ref router_options::max_open_requests, which also applies to delegated requests.
void router::refuse_at_greatest_bound(request_number number, const route& matched_route,
                                      const routed_request& request, time_point now)
{
    if (!m_options.load.limits_admission || request.is_delegated())
    {
        refuse(number, &matched_route, missing_reason::overloaded);
        spread_last_refusal(matched_route, request, now);
        return;
    }
    admission_decision decision = load_inputs(matched_route, request, now);
    decision.decided = admission_decision::verdict::too_many_open;
    refuse_overloaded(number, matched_route, request, decision, now);
}

// ---------------------------------------------------------------------------------------------------------
// estimate
// ---------------------------------------------------------------------------------------------------------

completion_estimate::result router::expected_completion(const route& matched_route, int priority, bool late,
                                                        time_point now)
{
    const duration own_delay = m_processing_delay.at(now);
    if (!matched_route.fans_out())
    {
        // The target is not chosen yet; the most favourable one counts.
        completion_estimate targets;
        for (const weighted_service& target : matched_route.targets)
        {
            add_local_shard(targets, target.service, 1.0, priority, late);
        }
        return targets.completion(0.0, own_delay);
    }
    const double size =
        m_route_latencies.relative_latency(matched_route.name, list_id(matched_route.fan_out));
    completion_estimate shards;
    std::vector<bool> runs_locally(matched_route.fan_out.size(), true);
    for (const shard_plan::group& item : m_groups.candidates_of(matched_route))
    {
        if (item.runner_candidates.empty() || item.runner_candidates.front() == m_view.self)
        {
            continue;
        }
        add_group(shards, matched_route, item, size, now);
        for (const std::size_t shard : item.shards)
        {
            runs_locally[shard] = false;
        }
    }
    for (std::size_t shard = 0; shard < runs_locally.size(); ++shard)
    {
        if (runs_locally[shard])
        {
            add_local_shard(shards, matched_route.fan_out[shard], size, priority, late);
        }
    }
    return shards.completion(matched_route.least_share, own_delay);
}

duration router::median_run_of(const service_name& service, double size) const
{
    const dispatch::scheduler* scheduler = scheduler_of(service);
    return scheduler == nullptr ? duration{} : scheduler->median_latency() * size;
}

/// Where queues are ordered by priority, less urgent subqueries are waited for only as far as their share.
void router::add_local_shard(completion_estimate& into, const service_name& service, double size,
                             int priority, bool late) const
{
    const dispatch::scheduler* scheduler = scheduler_of(service);
    duration wait{};
    if (scheduler != nullptr)
    {
        wait = late ? scheduler->estimated_wait_if_late(0) : scheduler->estimated_wait(0, priority);
    }
    into.add(1, wait, median_run_of(service, size));
}

/// Adds a delegated group, with the shorter one of the delays of its likely runners.
void router::add_group(completion_estimate& into, const route& matched_route, const shard_plan::group& item,
                       double size, time_point now) const
{
    const std::size_t runners = std::min(item.runner_candidates.size(), likely_runners);
    duration delay = m_groups.delay_of(item.runner_candidates.front(), now);
    for (std::size_t i = 1; i < runners; ++i)
    {
        delay = std::min(delay, m_groups.delay_of(item.runner_candidates[i], now));
    }
    const duration round_trip = round_trip_to(item.runner_candidates.front());
    for (const std::size_t shard : item.shards)
    {
        into.add(1, delay, median_run_of(matched_route.fan_out[shard], size) + round_trip);
    }
}

/// Takes in the end of a request, before it is forgotten.
void router::note_end(const open_request& opened, const routed_outcome& outcome,
                      std::optional<time_point> now)
{
    const bool is_answer = outcome.end == routed_end::merged || outcome.end == routed_end::passed_on;
    m_answered += is_answer && !opened.request->is_delegated() ? 1 : 0;
    m_open_limit.on_end(opened.priority, opened.request->is_delegated());
    if (!opened.waits_within_objective || !now)
    {
        return;
    }
    // A miss by the delay of this process is no fault of the estimate; the bound on open requests shortens
    // it.
    const duration tolerated = m_view.routes->shortest_objective() * open_request_limit::tolerated_share;
    if (m_processing_delay.at(*now) <= tolerated)
    {
        m_completion_margin.observe(is_answer && *now <= opened.objective_at);
    }
}

// ---------------------------------------------------------------------------------------------------------
// return times
// ---------------------------------------------------------------------------------------------------------

/// Replaces the retry time of a refusal by a time of the caller's own. Entries that delegated the request
/// don't return.
void router::spread_return(routed_outcome& refusal, const route& matched_route, const routed_request& request,
                           time_point now)
{
    if (!m_options.load.spreads_returns || request.is_delegated())
    {
        return;
    }
    const std::size_t more_urgent =
        m_open_limit.more_urgent_priorities(priority_of(matched_route, request.team));
    refusal.retry_after =
        m_returns.next_wait(more_urgent, refusal.retry_after, request.patience * longest_wait_share, now);
}

void router::spread_last_refusal(const route& matched_route, const routed_request& request, time_point now)
{
    spread_return(std::get<answer_request>(m_actions.back()).outcome, matched_route, request, now);
}

} // namespace flaxtiller
