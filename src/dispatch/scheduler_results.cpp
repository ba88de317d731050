// The part of the class scheduler that processes the results of attempts and finishes subqueries.

#include <flaxtiller/dispatch/scheduler.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>

namespace flaxtiller::dispatch
{

using namespace detail;

// ---------------------------------------------------------------------------------------------------------
// results of attempts
// ---------------------------------------------------------------------------------------------------------

void scheduler::on_result(attempt_id id, const attempt_result& result, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
    {
        return;
    }
    const attempt ended = found->second;
    m_attempts.erase(found);
    // Most attempts end before they are overdue; a timer that is left behind would wake the process
    // needlessly.
    m_timers.erase({ended.overdue_timer_at, timer_kind::overdue, id});
    server_state& server = m_servers[ended.server];
    --server.in_use;
    server.overdue_in_use -= ended.is_overdue ? 1 : 0;
    const bool held_slot = !ended.pipelined && !was_not_run(result.status);
    if (held_slot)
    {
        m_mean_hold_ms += ((now - ended.started_at).ms() - m_mean_hold_ms) * mean_hold_weight;
    }
    if (server.pipelined_attempt == id)
    {
        server.pipelined_attempt = 0;
    }
    else
    {
        on_slot_freed(server, now);
    }
    if (ended.run_number == server.run_number)
    {
        observe(server, ended, result, now);
    }

    const auto pending_found = m_pending.find(ended.subquery);
    if (pending_found != m_pending.end())
    {
        pending_subquery& item = pending_found->second;
        std::erase(item.running, id);
        if (result.status == attempt_status::answered)
        {
            on_answer(item, result, now);
        }
        else
        {
            on_failure(item, ended.server, result, now);
        }
    }
    run_queues_at(ended.server, now);
}

void scheduler::on_not_sent(attempt_id id, time_point now)
{
    attempt_result not_sent;
    not_sent.status = attempt_status::wrong_version;
    on_result(id, not_sent, now);
}

void scheduler::observe(server_state& server, const attempt& ended, const attempt_result& result,
                        time_point now)
{
    if (!result.held_versions.empty())
    {
        server.versions = result.held_versions;
    }
    if (result.load && m_options.reads_server_load)
    {
        server.reported.add_report(*result.load, server.in_use, now);
    }
    if (result.status == attempt_status::leaving)
    {
        server.reported_leaving = true;
        server.reported_leaving_at = now;
    }
    if (result.status == attempt_status::answered)
    {
        server.reported_leaving = result.leaving;
        server.reported_leaving_at = now;
        server.failures_in_row = 0;
        server.ejections_in_row = 0;
    }
    if (result.status == attempt_status::cancelled &&
        now - ended.cancelled_at <= m_options.cancel_confirmation_timeout)
    {
        server.cancel_failures_in_row = 0;
    }
    const server_index index = ended.server;
    const bool failed = result.status == attempt_status::shed ||
                        result.status == attempt_status::unreachable || result.status == attempt_status::cut;
    if (failed || result.status == attempt_status::answered)
    {
        server.failures.add_outcome(failed, now, std::max(m_options.failure_half_life, duration::from_ms(1)));
    }
    if (result.status == attempt_status::shed)
    {
        server.shed_at = now;
        server.busy_until = now + std::clamp(result.retry_after, min_backoff, max_backoff);
        arm(server.busy_until, timer_kind::server_available, index);
    }
    if (result.status == attempt_status::unreachable || result.status == attempt_status::cut)
    {
        observe_failure(index, now);
    }
    const bool answered = result.status == attempt_status::answered;
    if (ended.pipelined)
    {
        // The time at which the backend server began to process the attempt is unknown.
        return;
    }
    // An attempt that was answered in spite of a cancel is a complete sample.
    if (answered || result.status == attempt_status::cancelled)
    {
        observe_latency(server, ended, answered, now);
    }
}

void scheduler::observe_latency(server_state& server, const attempt& ended, bool answered, time_point now)
{
    const time_point end = answered ? now : ended.cancelled_at;
    // Normalized by size, the latencies of small and large subqueries are comparable.
    const duration latency = (end - ended.started_at) * (1.0 / ended.size);
    if (!answered && latency < overdue_after(server))
    {
        // An attempt that was cancelled before it was overdue carries no information about the tail.
        return;
    }
    if (now - server.observed_at > m_options.observation_age)
    {
        server.recent_samples = 0;
    }
    answered ? m_latency.add_answered(latency) : m_latency.add_censored(latency);
    if (answered)
    {
        note_fastest_answer(server, latency);
    }
    if (m_options.overdue_by_server)
    {
        answered ? server.latency.add_answered(latency) : server.latency.add_censored(latency);
    }
    if (answered && ended.predicted_wait)
    {
        server.reported.add_latency(*ended.predicted_wait, latency, m_latency.median());
    }
    server.observed_at = now;
    ++server.recent_samples;
    const double weight = std::max(min_average_weight, 1.0 / server.recent_samples);
    const duration counted = std::min(latency, m_latency.median() * outlier_ratio);
    server.recent_latency = server.recent_latency + (counted - server.recent_latency) * weight;
}

void scheduler::note_fastest_answer(const server_state& server, duration latency)
{
    for (const int shard : server.shards)
    {
        auto& fastest = m_shards[static_cast<std::size_t>(shard)].fastest_answer;
        fastest = std::min(fastest.value_or(latency), latency);
    }
}

void scheduler::observe_failure(server_index index, time_point now)
{
    server_state& server = m_servers[index];
    ++server.failures_in_row;
    const bool returning = server.ejections_in_row > 0;
    if (server.failures_in_row < m_options.eject_after && !returning)
    {
        return;
    }
    if (server.ejected_until > now)
    {
        return;
    }
    constexpr int most_doublings = 10;
    const int doublings = std::min(server.ejections_in_row, most_doublings);
    const duration away =
        std::min(m_options.min_ejection * static_cast<double>(1 << doublings), m_options.max_ejection);
    ++server.ejections_in_row;
    server.ejected_until = now + away;
    arm(server.ejected_until, timer_kind::server_available, index);
}

void scheduler::on_answer(pending_subquery& item, const attempt_result& result, time_point now)
{
    subquery_result done;
    done.shard = item.spec.shard;
    done.outcome = outcome::run;
    done.version = result.version;
    done.body = result.body;
    finish(item.spec.id, std::move(done), now);
}

void scheduler::on_failure(pending_subquery& item, server_index index, const attempt_result& result,
                           time_point now)
{
    const backend_server_name& server = m_servers[index].definition.name;
    if (!was_not_run(result.status))
    {
        item.maybe_run = true;
    }
    if (result.status == attempt_status::shed)
    {
        item.sent.add_refusal();
    }
    if (result.status == attempt_status::unreachable)
    {
        item.sent.remove_unsent(server);
    }
    if (result.status == attempt_status::unreachable && item.second_server == index &&
        !item.sent.includes(server))
    {
        // The subquery did not reach the backend server, which therefore is not one of the two allowed ones.
        item.second_server.reset();
    }
    item.failed_servers.push_back(index);
    item.last_reason = reason_for(result.status);
    item.retry_after = std::max(item.retry_after, result.retry_after);
    if (!item.running.empty() || item.queued)
    {
        return;
    }
    if (try_elsewhere(item, result, now))
    {
        return;
    }
    give_up(item, item.last_reason, now);
}

bool scheduler::has_attempts_left(const pending_subquery& item) const
{
    if (m_options.retries_refused)
    {
        return item.sent.has_attempts_left(item.spec.most_attempts, m_options.most_attempts);
    }
    return item.spec.most_attempts == 0 || item.attempts < item.spec.most_attempts;
}

bool scheduler::try_elsewhere(pending_subquery& item, const attempt_result& result, time_point now)
{
    const bool not_run = was_not_run(result.status);
    if (!item.spec.repeatable && item.maybe_run)
    {
        return false;
    }
    // Where no connection could be established, nothing was sent and no backend server was loaded. Charging
    // the budget for such attempts lost subqueries whose other replica was healthy, which cost 0.008 of the
    // total worth in simulated days with crashed backend servers (15 paired days).
    const bool never_sent = result.status == attempt_status::unreachable;
    const bool costs = !never_sent && (!not_run || m_options.charge_refusals);
    if (!costs)
    {
        // The attempt caused no load on a backend server.
        --item.attempts;
        --m_started;
    }
    if (!has_attempts_left(item) || (costs && !spend_budget(now)))
    {
        return false;
    }
    duration retry_after{};
    const missing_reason blocked = blocked_reason(item, now, retry_after);
    if (blocked != missing_reason::none)
    {
        item.last_reason = blocked;
        item.retry_after = std::max(item.retry_after, retry_after);
        return false;
    }
    const auto& replicas = m_shards[static_cast<std::size_t>(item.spec.shard)].replicas;
    const bool untried_left = std::any_of(replicas.begin(), replicas.end(),
                                          [&](server_index index)
                                          {
                                              return !was_tried(index, item) &&
                                                     is_eligible(m_servers[index], item, now) &&
                                                     m_servers[index].ejected_until <= now;
                                          });
    if (untried_left)
    {
        enqueue(item, now);
        return true;
    }
    item.backoff = std::clamp(std::max(item.backoff * 2.0, result.retry_after), min_backoff, max_backoff);
    if (now + item.backoff >= item.spec.deadline)
    {
        return false;
    }
    item.backing_off = true;
    arm(now + item.backoff, timer_kind::backoff_over, item.spec.id);
    return true;
}

void scheduler::abandon(subquery_id id, time_point now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    remove_from_queue(found->second);
    for (const attempt_id running : found->second.running)
    {
        cancel(running, now);
    }
    m_timers.erase({found->second.spec.deadline, timer_kind::deadline, id});
    m_pending.erase(found);
}

void scheduler::detach(subquery_id id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
    {
        return;
    }
    remove_from_queue(found->second);
    m_timers.erase({found->second.spec.deadline, timer_kind::deadline, id});
    m_pending.erase(found);
}

void scheduler::give_up(pending_subquery& item, missing_reason reason, time_point now)
{
    subquery_result done;
    done.shard = item.spec.shard;
    const bool may_have_run = item.maybe_run || !item.running.empty();
    done.outcome = may_have_run ? outcome::unknown : outcome::not_run;
    done.reason = reason;
    done.retry_after = item.retry_after;
    finish(item.spec.id, std::move(done), now);
}

bool scheduler::continues_as_sample(attempt_id loser, time_point now)
{
    const attempt& lost = m_attempts.at(loser);
    const bool is_overdue = now - lost.started_at >= overdue_after(lost);
    if (lost.cancelling || !is_overdue || m_queued > 0)
    {
        return false;
    }
    ++m_overdue_losers;
    return m_overdue_losers % static_cast<std::uint64_t>(m_options.loser_sampling_interval) == 0;
}

void scheduler::finish(subquery_id id, subquery_result result, time_point now)
{
    const auto found = m_pending.find(id);
    pending_subquery& item = found->second;
    remove_from_queue(item);
    const std::vector<attempt_id> losers = item.running;
    const time_point deadline = item.spec.deadline;
    m_pending.erase(found);
    m_timers.erase({deadline, timer_kind::deadline, id});
    for (const attempt_id loser : losers)
    {
        if (m_options.cancel_losers && !continues_as_sample(loser, now))
        {
            cancel(loser, now);
        }
    }
    ++m_finished;
    m_budget.earn();
    result.held_versions = held_versions(result.shard);
    result.estimated_wait = estimated_wait(result.shard, now);
    m_actions.emplace_back(finish_subquery{id, std::move(result)});
}

} // namespace flaxtiller::dispatch
