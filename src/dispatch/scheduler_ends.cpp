#include <flaxtiller/dispatch/scheduler.hpp>

#include "scheduler_detail.hpp"

#include <algorithm>

namespace flaxtiller::dispatch
{

using namespace detail;

// ---------------------------------------------------------------------------------------------------------
// ends of attempts
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
    // Most end before they are late; left behind, each of their timers would wake the process for nothing.
    m_timers.erase({ended.late_timer_at, timer_kind::late, id});
    server_state& server = m_servers[ended.server];
    --server.in_use;
    server.late_in_use -= ended.is_late ? 1 : 0;
    const bool held_slot = !ended.ahead && !was_not_run(result.status);
    if (held_slot)
    {
        m_mean_hold_ms += ((now - ended.started_at).ms() - m_mean_hold_ms) * mean_hold_weight;
    }
    if (server.ahead == id)
    {
        server.ahead = 0;
    }
    else
    {
        slot_got_free(server, now);
    }
    if (ended.life == server.life)
    {
        observe(server, ended, result, now);
    }

    const auto work_found = m_work.find(ended.subquery);
    if (work_found != m_work.end())
    {
        work& item = work_found->second;
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

void scheduler::observe(server_state& server, const attempt& ended, const attempt_result& result,
                        time_point now)
{
    if (!result.held_versions.empty())
    {
        server.versions = result.held_versions;
    }
    if (result.status == attempt_status::leaving)
    {
        server.said_leaving = true;
        server.said_leaving_at = now;
    }
    if (result.status == attempt_status::answered)
    {
        server.said_leaving = result.leaving;
        server.said_leaving_at = now;
        server.failures_in_row = 0;
        server.ejections_in_row = 0;
    }
    if (result.status == attempt_status::cancelled && now - ended.cancelled_at <= m_options.cancel_bound)
    {
        server.cancel_failures_in_row = 0;
    }
    const server_index index = ended.server;
    const bool failed = result.status == attempt_status::shed ||
                        result.status == attempt_status::unreachable || result.status == attempt_status::cut;
    if (failed || result.status == attempt_status::answered)
    {
        server.failures.note(failed, now, std::max(m_options.failure_half_life, duration::from_ms(1)));
    }
    if (result.status == attempt_status::shed)
    {
        server.shed_at = now;
        server.busy_until = now + std::clamp(result.retry_after, least_park, most_park);
        arm(server.busy_until, timer_kind::server_back, index);
    }
    if (result.status == attempt_status::unreachable || result.status == attempt_status::cut)
    {
        observe_failure(index, now);
    }
    const bool answered = result.status == attempt_status::answered;
    if (ended.ahead)
    {
        // When it began isn't known.
        return;
    }
    // Work that was told to stop and answered all the same took as long as it took.
    if (answered || result.status == attempt_status::cancelled)
    {
        observe_latency(server, ended, answered, now);
    }
}

void scheduler::observe_latency(server_state& server, const attempt& ended, bool answered, time_point now)
{
    const time_point end = answered ? now : ended.cancelled_at;
    // Small and large subqueries alike tell how fast the backend server is.
    const duration latency = (end - ended.started_at) * (1.0 / ended.size);
    if (!answered && latency < late_after(server))
    {
        // A loser that was stopped early tells nothing of how long it would have taken.
        return;
    }
    if (now - server.observed_at > m_options.observation_age)
    {
        server.recent_samples = 0;
    }
    answered ? m_latency.add_answered(latency) : m_latency.add_stopped(latency);
    if (m_options.late_by_server)
    {
        answered ? server.latency.add_answered(latency) : server.latency.add_stopped(latency);
    }
    server.observed_at = now;
    ++server.recent_samples;
    const double weight = std::max(slowest_average_weight, 1.0 / server.recent_samples);
    const duration counted = std::min(latency, m_latency.median() * outlier_ratio);
    server.recent_latency = server.recent_latency + (counted - server.recent_latency) * weight;
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
        std::min(m_options.eject_first * static_cast<double>(1 << doublings), m_options.eject_most);
    ++server.ejections_in_row;
    server.ejected_until = now + away;
    arm(server.ejected_until, timer_kind::server_back, index);
}

void scheduler::on_answer(work& item, const attempt_result& result, time_point now)
{
    subquery_result done;
    done.shard = item.wanted.shard;
    done.outcome = outcome::run;
    done.version = result.version;
    done.body = result.body;
    finish(item.wanted.id, std::move(done), now);
}

void scheduler::on_failure(work& item, server_index index, const attempt_result& result, time_point now)
{
    if (!was_not_run(result.status))
    {
        item.maybe_run = true;
    }
    if (result.status == attempt_status::unreachable && item.other == index)
    {
        // Not one of the two that it may be run on: it never came there.
        item.other.reset();
    }
    item.tried.push_back(index);
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

bool scheduler::has_attempts_left(const work& item) const
{
    return item.wanted.most_attempts == 0 || item.attempts < item.wanted.most_attempts;
}

bool scheduler::try_elsewhere(work& item, const attempt_result& result, time_point now)
{
    const bool not_run = was_not_run(result.status);
    if (!item.wanted.repeatable && item.maybe_run)
    {
        return false;
    }
    // Where no connection could be made nothing was sent, so that it is no load on anyone. Charged all the
    // same, it lost parts whose other replica was sound: worth 0.008 of a day with crashed backend servers
    // (15 days, paired).
    const bool never_sent = result.status == attempt_status::unreachable;
    const bool costs = !never_sent && (!not_run || m_options.refusals_cost);
    if (!costs)
    {
        // It put no work on any backend server.
        --item.attempts;
        --m_started;
    }
    if (!has_attempts_left(item) || (costs && !pay(now)))
    {
        return false;
    }
    duration retry_after{};
    const missing_reason blocked = why_not_runnable(item, now, retry_after);
    if (blocked != missing_reason::none)
    {
        item.last_reason = blocked;
        item.retry_after = std::max(item.retry_after, retry_after);
        return false;
    }
    const auto& replicas = m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas;
    const bool untried_left = std::any_of(replicas.begin(), replicas.end(),
                                          [&](server_index index)
                                          {
                                              return !was_tried(index, item) &&
                                                     eligible(m_servers[index], item, now) &&
                                                     m_servers[index].ejected_until <= now;
                                          });
    if (untried_left)
    {
        enqueue(item, item.wanted.deadline, now);
        return true;
    }
    item.park_for = std::clamp(std::max(item.park_for * 2.0, result.retry_after), least_park, most_park);
    if (now + item.park_for >= item.wanted.deadline)
    {
        return false;
    }
    item.parked = true;
    arm(now + item.park_for, timer_kind::unpark, item.wanted.id);
    return true;
}

void scheduler::abandon(subquery_id id, time_point now)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
    {
        return;
    }
    unqueue(found->second);
    for (const attempt_id running : found->second.running)
    {
        cancel(running, now);
    }
    m_timers.erase({found->second.wanted.deadline, timer_kind::deadline, id});
    m_work.erase(found);
}

void scheduler::detach(subquery_id id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
    {
        return;
    }
    unqueue(found->second);
    m_timers.erase({found->second.wanted.deadline, timer_kind::deadline, id});
    m_work.erase(found);
}

missing_reason scheduler::why_unavailable(int shard, const std::shared_ptr<const region_set>& regions,
                                          time_point now, duration& retry_after) const
{
    if (!is_known_shard(shard))
    {
        return missing_reason::no_backend_server;
    }
    work any;
    any.wanted.shard = shard;
    any.wanted.regions = regions;
    return why_not_runnable(any, now, retry_after);
}

missing_reason scheduler::why_not_runnable(const work& item, time_point now, duration& retry_after) const
{
    const auto& replicas = m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas;
    bool any_staying = false;
    bool any_in_region = false;
    time_point soonest = time_point::never();
    for (const server_index index : replicas)
    {
        const server_state& server = m_servers[index];
        any_staying = any_staying || !server.is_leaving();
        any_in_region = any_in_region || (!server.is_leaving() && is_in_region(server, item));
        if (!eligible(server, item, now))
        {
            continue;
        }
        const time_point back = is_cold_without_share(server, now)
                                    ? std::max(server.ejected_until, server.cold_until)
                                    : server.ejected_until;
        if (back <= now)
        {
            return missing_reason::none;
        }
        soonest = std::min(soonest, back);
    }
    if (soonest != time_point::never())
    {
        retry_after = soonest - now;
        return missing_reason::no_backend_server;
    }
    if (!any_staying)
    {
        return missing_reason::no_backend_server;
    }
    return any_in_region ? missing_reason::wrong_version : missing_reason::no_allowed_region;
}

void scheduler::give_up(work& item, missing_reason reason, time_point now)
{
    subquery_result done;
    done.shard = item.wanted.shard;
    const bool may_have_run = item.maybe_run || !item.running.empty();
    done.outcome = may_have_run ? outcome::unknown : outcome::not_run;
    done.reason = reason;
    done.retry_after = item.retry_after;
    finish(item.wanted.id, std::move(done), now);
}

bool scheduler::runs_on_for_observation(attempt_id loser, time_point now)
{
    const attempt& late = m_attempts.at(loser);
    const bool is_late = now - late.started_at >= late_after(late);
    if (late.cancelling || !is_late || m_queued > 0)
    {
        return false;
    }
    ++m_late_losers;
    return m_late_losers % static_cast<std::uint64_t>(m_options.observe_one_of) == 0;
}

void scheduler::finish(subquery_id id, subquery_result result, time_point now)
{
    const auto found = m_work.find(id);
    work& item = found->second;
    unqueue(item);
    const std::vector<attempt_id> losers = item.running;
    const time_point deadline = item.wanted.deadline;
    m_work.erase(found);
    m_timers.erase({deadline, timer_kind::deadline, id});
    for (const attempt_id loser : losers)
    {
        if (m_options.cancel_losers && !runs_on_for_observation(loser, now))
        {
            cancel(loser, now);
        }
    }
    ++m_finished;
    m_budget.earn();
    result.held_versions = held_versions(result.shard);
    result.estimated_wait = estimated_wait(result.shard);
    m_actions.emplace_back(finish_subquery{id, std::move(result)});
}

} // namespace flaxtiller::dispatch
