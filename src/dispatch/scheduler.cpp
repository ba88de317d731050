#include <flaxtiller/dispatch/scheduler.hpp>

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <algorithm>
#include <iterator>

namespace flaxtiller::dispatch
{

namespace
{

/// Samples of its own that a backend server needs before it can count as slow.
constexpr int enough_server_samples = 20;
constexpr std::size_t enough_service_samples = 32;
/// A slow backend server's attempts are late at the latest after this multiple of the service's own limit.
constexpr double most_late_ratio = 3.0;
/// Outliers count in the moving average at most as this multiple of the median.
constexpr double outlier_ratio = 4.0;
constexpr double slowest_average_weight = 0.1;
/// Weight of one attempt in the mean time for which a slot is held.
constexpr double mean_hold_weight = 0.01;
/// How far into a queue a freed slot looks for work that this backend server can do.
constexpr int queue_look_ahead = 8;
constexpr duration least_park = duration::from_ms(2);
constexpr duration most_park = duration::from_ms(100);

/// Replacements of late attempts go before all other waiting work.
constexpr time_point front_of_queue{};

bool was_not_run(attempt_status status) noexcept
{
    return status == attempt_status::unreachable || status == attempt_status::shed ||
           status == attempt_status::leaving || status == attempt_status::wrong_version;
}

missing_reason reason_for(attempt_status status) noexcept
{
    switch (status)
    {
    case attempt_status::shed:
        return missing_reason::shed;
    case attempt_status::leaving:
    case attempt_status::unreachable:
        return missing_reason::no_backend_server;
    case attempt_status::wrong_version:
        return missing_reason::wrong_version;
    case attempt_status::cut:
        return missing_reason::cut;
    case attempt_status::answered:
    case attempt_status::cancelled:
        break;
    }
    return missing_reason::late;
}

} // namespace

scheduler::scheduler(scheduler_options options)
    : m_options(options), m_budget(options.extra_load_share, options.budget_burst)
{
    m_latency.track(options.late_quantile, options.late_gain);
}

// ---------------------------------------------------------------------------------------------------------
// configuration
// ---------------------------------------------------------------------------------------------------------

scheduler::server_index scheduler::take_server_index(const backend_server_name& name)
{
    const auto known = m_server_index.find(name);
    if (known != m_server_index.end())
    {
        return known->second;
    }
    const auto unused = [](const server_state& server)
    {
        return server.retired && server.in_use == 0;
    };
    const auto reusable = std::find_if(m_servers.begin(), m_servers.end(), unused);
    const auto index = static_cast<server_index>(std::distance(m_servers.begin(), reusable));
    if (reusable == m_servers.end())
    {
        m_servers.emplace_back();
    }
    else
    {
        m_server_index.erase(reusable->definition.name);
        *reusable = server_state{};
    }
    m_server_index.emplace(name, index);
    return index;
}

void scheduler::configure(const placed_service& placed, int candidates, time_point now)
{
    m_candidates = candidates;
    for (server_state& server : m_servers)
    {
        server.shards.clear();
        server.retired = true;
    }
    m_shards.resize(placed.shards.size());
    for (std::size_t shard = 0; shard < placed.shards.size(); ++shard)
    {
        auto& replicas = m_shards[shard].replicas;
        replicas.clear();
        for (const backend_server& definition : placed.shards[shard])
        {
            const server_index index = take_server_index(definition.name);
            server_state& server = m_servers[index];
            server.definition = definition;
            server.retired = false;
            server.shards.push_back(static_cast<int>(shard));
            replicas.push_back(index);
        }
    }
    for (std::size_t shard = 0; shard < m_shards.size(); ++shard)
    {
        run_queue_of(static_cast<int>(shard), now);
    }
}

void scheduler::set_leaving(const backend_server_name& server, bool leaving, time_point now)
{
    const auto found = m_server_index.find(server);
    if (found == m_server_index.end())
    {
        return;
    }
    m_servers[found->second].listed_leaving = leaving;
    run_queues_at(found->second, now);
}

// ---------------------------------------------------------------------------------------------------------
// choice of a backend server
// ---------------------------------------------------------------------------------------------------------

bool scheduler::is_known_shard(int shard) const noexcept
{
    return shard >= 0 && static_cast<std::size_t>(shard) < m_shards.size();
}

bool scheduler::eligible(const server_state& server, const work& item) const
{
    if (server.is_leaving())
    {
        return false;
    }
    if (item.wanted.version.empty() || !server.versions)
    {
        return true;
    }
    const auto& held = *server.versions;
    return std::find(held.begin(), held.end(), item.wanted.version) != held.end();
}

bool scheduler::usable(const server_state& server, time_point now) const
{
    return server.ejected_until <= now && server.busy_until <= now;
}

int scheduler::slots_of(const server_state& server) const
{
    const int allowed = std::min(server.definition.slots, share_of(server.definition, m_candidates).working);
    // One that comes back after failures gets one attempt at a time until it answers.
    return server.ejections_in_row > 0 ? std::min(allowed, 1) : allowed;
}

bool scheduler::has_slot(const server_state& server, time_point now) const
{
    return usable(server, now) && server.in_use < slots_of(server);
}

duration scheduler::expected_latency(const server_state& server, time_point now) const
{
    const bool known = server.recent_samples > 0 && now - server.observed_at < m_options.observation_age;
    return known ? server.recent_latency : m_latency.median();
}

duration scheduler::median_latency() const noexcept
{
    return m_latency.median();
}

duration scheduler::late_after_now() const
{
    const bool enough = m_latency.samples() >= enough_service_samples;
    return enough ? std::max(m_latency.late_after(), m_options.least_late_after) : m_options.first_late_after;
}

duration scheduler::late_after(const server_state& server) const
{
    const duration limit = late_after_now();
    const bool known = server.recent_samples >= enough_server_samples;
    const double ratio = known ? server.recent_latency.ms() / m_latency.median().ms() : 1.0;
    // One backend server sees too few stragglers to tell their share; it only tells how slow it is as a
    // whole.
    return ratio > m_options.slower_ratio ? limit * std::min(ratio, most_late_ratio) : limit;
}

bool scheduler::was_tried(server_index index, const work& item) const
{
    return std::find(item.tried.begin(), item.tried.end(), index) != item.tried.end();
}

bool scheduler::prefer(server_index candidate, server_index over, time_point now) const
{
    const server_state& a = m_servers[candidate];
    const server_state& b = m_servers[over];
    const duration latency_a = expected_latency(a, now);
    const duration latency_b = expected_latency(b, now);
    if (latency_a * m_options.slower_ratio < latency_b)
    {
        return true;
    }
    if (latency_b * m_options.slower_ratio < latency_a)
    {
        return false;
    }
    return a.in_use < b.in_use;
}

bool scheduler::has_room_ahead(const server_state& server, time_point now) const
{
    const connection_share share = share_of(server.definition, m_candidates);
    const bool spare_connection = share.working > server.definition.slots;
    const bool queues = now - server.shed_at >= m_options.no_ahead_after_shed;
    return m_options.ahead > 0 && spare_connection && queues && usable(server, now) && server.ahead == 0 &&
           server.ejections_in_row == 0 && server.in_use == slots_of(server);
}

std::optional<scheduler::server_index> scheduler::server_ahead(const work& item, time_point now) const
{
    std::optional<server_index> best;
    if (!item.wanted.repeatable)
    {
        return best;
    }
    for (const server_index index : m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        const bool fits = eligible(server, item) && has_room_ahead(server, now);
        if (fits && (!best || prefer(index, *best, now)))
        {
            best = index;
        }
    }
    return best;
}

std::optional<scheduler::server_index> scheduler::free_server(const work& item, time_point now,
                                                              std::optional<server_index> avoid) const
{
    const auto unwanted = [&](server_index index)
    {
        return index == avoid || was_tried(index, item);
    };
    std::optional<server_index> best;
    for (const server_index index : m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas)
    {
        const server_state& server = m_servers[index];
        if (!eligible(server, item) || !has_slot(server, now))
        {
            continue;
        }
        const bool differ = best && unwanted(index) != unwanted(*best);
        const bool better = !best || (differ ? unwanted(*best) : prefer(index, *best, now));
        best = better ? index : best;
    }
    return best;
}

bool scheduler::better_to_wait(server_index candidate, const work& item, time_point now) const
{
    const duration here = expected_latency(m_servers[candidate], now);
    const shard_state& shard = m_shards[static_cast<std::size_t>(item.wanted.shard)];
    const auto before = static_cast<double>(shard.queue.size());
    return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                       [&](server_index index)
                       {
                           const server_state& other = m_servers[index];
                           if (index == candidate || !eligible(other, item) || !usable(other, now))
                           {
                               return false;
                           }
                           const duration there = expected_latency(other, now);
                           const double turns = before / std::max(1, slots_of(other));
                           return there * m_options.slower_ratio + there * turns < here;
                       });
}

// ---------------------------------------------------------------------------------------------------------
// the queue
// ---------------------------------------------------------------------------------------------------------

void scheduler::submit(const subquery& wanted, time_point now)
{
    work& item = m_work[wanted.id];
    item.wanted = wanted;
    if (!is_known_shard(wanted.shard))
    {
        give_up(item, missing_reason::no_backend_server, now);
        return;
    }
    duration retry_after{};
    const missing_reason blocked = why_not_runnable(item, now, retry_after);
    if (blocked != missing_reason::none)
    {
        item.retry_after = retry_after;
        give_up(item, blocked, now);
        return;
    }
    const duration wait = estimated_wait(wanted.shard);
    if (wait > wanted.deadline - now)
    {
        item.retry_after = wait;
        give_up(item, missing_reason::overloaded, now);
        return;
    }
    arm(wanted.deadline, timer_kind::deadline, wanted.id);
    enqueue(item, wanted.deadline, now);
}

void scheduler::enqueue(work& item, time_point key, time_point now)
{
    const int shard = item.wanted.shard;
    item.queued = true;
    item.queue_key = key;
    m_shards[static_cast<std::size_t>(shard)].queue.emplace(key, item.wanted.id);
    ++m_queued;
    run_queue_of(shard, now);
}

void scheduler::unqueue(work& item)
{
    if (!item.queued)
    {
        return;
    }
    item.queued = false;
    --m_queued;
    if (is_known_shard(item.wanted.shard))
    {
        m_shards[static_cast<std::size_t>(item.wanted.shard)].queue.erase({item.queue_key, item.wanted.id});
    }
}

void scheduler::run_queue_of(int shard, time_point now)
{
    const std::vector<server_index> replicas = m_shards[static_cast<std::size_t>(shard)].replicas;
    // The head goes to the best free backend server, not to the first.
    auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    drop_hopeless(shard, now);
    while (!queue.empty())
    {
        work& head = m_work.at(queue.begin()->second);
        const auto index = free_server(head, now);
        if (index && !better_to_wait(*index, head, now))
        {
            start(head, *index, now);
            continue;
        }
        const auto ahead = server_ahead(head, now);
        if (!ahead || better_to_wait(*ahead, head, now))
        {
            break;
        }
        start(head, *ahead, now, true);
    }
    for (const server_index index : replicas)
    {
        run_queues_at(index, now);
    }
}

void scheduler::drop_hopeless(int shard, time_point now)
{
    const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
    const duration needed = m_latency.median();
    while (!queue.empty())
    {
        work& head = m_work.at(queue.begin()->second);
        if (head.wanted.deadline - now >= needed)
        {
            return;
        }
        // A slot that it took now would be wasted, and the next one would come too late in its turn.
        head.retry_after = estimated_wait(shard);
        give_up(head, missing_reason::overloaded, now);
    }
}

void scheduler::run_queues_at(server_index index, time_point now)
{
    const std::vector<int> shards = m_servers[index].shards;
    for (const int shard : shards)
    {
        drop_hopeless(shard, now);
    }
    while ((has_slot(m_servers[index], now) || has_room_ahead(m_servers[index], now)) &&
           start_first_for(index, now))
    {
    }
}

bool scheduler::start_first_for(server_index index, time_point now)
{
    const server_state& server = m_servers[index];
    const bool ahead = !has_slot(server, now);
    work* first = nullptr;
    for (const int shard : server.shards)
    {
        const auto& queue = m_shards[static_cast<std::size_t>(shard)].queue;
        int looked_at = 0;
        for (const auto& [key, id] : queue)
        {
            if (++looked_at > queue_look_ahead)
            {
                break;
            }
            work& item = m_work.at(id);
            const bool tried = was_tried(index, item);
            const bool fits = !ahead || item.wanted.repeatable;
            if (fits && eligible(server, item) && !tried && !better_to_wait(index, item, now))
            {
                if (first == nullptr || key < first->queue_key)
                {
                    first = &item;
                }
                break;
            }
        }
    }
    if (first == nullptr)
    {
        return false;
    }
    start(*first, index, now, ahead);
    return true;
}

void scheduler::slot_got_free(server_state& server, time_point now)
{
    const auto waiting = m_attempts.find(server.ahead);
    server.ahead = 0;
    if (waiting == m_attempts.end())
    {
        return;
    }
    waiting->second.ahead = false;
    waiting->second.started_at = now;
    arm(now + late_after(server), timer_kind::late, waiting->first);
}

void scheduler::start(work& item, server_index index, time_point now, bool ahead)
{
    unqueue(item);
    server_state& server = m_servers[index];
    const attempt_id id = m_next_attempt++;
    attempt begun;
    begun.subquery = item.wanted.id;
    begun.server = index;
    // One that waits ahead is expected to begin about when the next slot gets free.
    begun.ahead = ahead;
    begun.started_at = ahead ? now + m_latency.median() : now;
    m_attempts.emplace(id, begun);
    if (ahead)
    {
        server.ahead = id;
    }
    item.running.push_back(id);
    ++item.attempts;
    ++server.in_use;
    ++m_started;
    if (item.wanted.repeatable)
    {
        arm(begun.started_at + late_after(server), timer_kind::late, id);
    }
    m_actions.emplace_back(start_attempt{id, item.wanted.id, server.definition.name, item.wanted.shard,
                                         item.wanted.version, item.wanted.deadline, item.wanted.body});
}

// ---------------------------------------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------------------------------------

void scheduler::arm(time_point at, timer_kind kind, std::uint64_t id)
{
    m_timers.insert({at, kind, id});
}

time_point scheduler::next_time() const noexcept
{
    return m_timers.empty() ? time_point::never() : m_timers.begin()->at;
}

void scheduler::on_time(time_point now)
{
    while (!m_timers.empty() && m_timers.begin()->at <= now)
    {
        const timer due = *m_timers.begin();
        m_timers.erase(m_timers.begin());
        switch (due.kind)
        {
        case timer_kind::late:
            on_late(due.id, now);
            break;
        case timer_kind::cancel_bound:
            on_cancel_bound(due.id, now);
            break;
        case timer_kind::deadline:
            on_deadline(due.id, now);
            break;
        case timer_kind::unpark:
        {
            const auto found = m_work.find(due.id);
            if (found != m_work.end() && found->second.parked)
            {
                found->second.parked = false;
                found->second.tried.clear();
                enqueue(found->second, found->second.wanted.deadline, now);
            }
            break;
        }
        case timer_kind::server_back:
            run_queues_at(due.id, now);
            break;
        }
    }
}

bool scheduler::all_late(const work& item, time_point now) const
{
    return std::all_of(item.running.begin(), item.running.end(),
                       [&](attempt_id id)
                       {
                           const attempt& other = m_attempts.at(id);
                           return other.cancelling ||
                                  now - other.started_at >= late_after(m_servers[other.server]);
                       });
}

void scheduler::on_late(attempt_id id, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || found->second.cancelling)
    {
        return;
    }
    attempt& late = found->second;
    const server_state& server = m_servers[late.server];
    const auto work_found = m_work.find(late.subquery);
    if (work_found == m_work.end())
    {
        return;
    }
    work& item = work_found->second;
    const duration limit = late_after(server);
    if (now - late.started_at < limit)
    {
        // The limit grew since the timer was set.
        arm(late.started_at + limit, timer_kind::late, id);
        return;
    }
    if (now >= item.wanted.deadline)
    {
        // Its deadline's own timer is next; this process was stopped for a while.
        return;
    }
    if (item.queued || item.attempts >= m_options.most_attempts || !all_late(item, now))
    {
        return;
    }
    const auto elsewhere = free_server(item, now, late.server);
    const bool may_replace = now >= server.replace_paused_until;
    if ((!elsewhere && !may_replace) || !m_budget.spend())
    {
        arm(now + limit, timer_kind::late, id);
        return;
    }
    if (elsewhere)
    {
        start(item, *elsewhere, now);
        return;
    }
    cancel(id, now);
    enqueue(item, front_of_queue, now);
}

void scheduler::cancel(attempt_id id, time_point now)
{
    attempt& target = m_attempts.at(id);
    if (target.cancelling)
    {
        return;
    }
    target.cancelling = true;
    target.cancelled_at = now;
    arm(now + m_options.cancel_bound, timer_kind::cancel_bound, id);
    m_actions.emplace_back(cancel_attempt{id, m_servers[target.server].definition.name});
}

void scheduler::on_cancel_bound(attempt_id id, time_point now)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end())
    {
        return;
    }
    server_state& server = m_servers[found->second.server];
    ++server.cancel_failures_in_row;
    if (server.cancel_failures_in_row >= m_options.cancel_failures)
    {
        server.cancel_failures_in_row = m_options.cancel_failures - 1;
        server.replace_paused_until = now + m_options.cancel_pause;
    }
}

void scheduler::on_deadline(subquery_id id, time_point now)
{
    const auto found = m_work.find(id);
    if (found != m_work.end())
    {
        found->second.retry_after = estimated_wait(found->second.wanted.shard);
        give_up(found->second, missing_reason::late, now);
    }
}

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
    server_state& server = m_servers[ended.server];
    --server.in_use;
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
    observe(server, ended, result, now);

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
    }
    if (result.status == attempt_status::answered)
    {
        server.said_leaving = result.leaving;
        server.failures_in_row = 0;
        server.ejections_in_row = 0;
    }
    if (result.status == attempt_status::cancelled && now - ended.cancelled_at <= m_options.cancel_bound)
    {
        server.cancel_failures_in_row = 0;
    }
    const server_index index = ended.server;
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
    const duration latency = end - ended.started_at;
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

bool scheduler::try_elsewhere(work& item, const attempt_result& result, time_point now)
{
    const bool not_run = was_not_run(result.status);
    if (!item.wanted.repeatable && item.maybe_run)
    {
        return false;
    }
    if (!not_run && !m_budget.spend())
    {
        return false;
    }
    if (not_run)
    {
        // What a backend server refused put no work on it.
        --item.attempts;
        --m_started;
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
                                                     eligible(m_servers[index], item) &&
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
    m_work.erase(found);
}

missing_reason scheduler::why_not_runnable(const work& item, time_point now, duration& retry_after) const
{
    const auto& replicas = m_shards[static_cast<std::size_t>(item.wanted.shard)].replicas;
    bool any_staying = false;
    time_point soonest = time_point::never();
    for (const server_index index : replicas)
    {
        const server_state& server = m_servers[index];
        any_staying = any_staying || !server.is_leaving();
        if (!eligible(server, item))
        {
            continue;
        }
        if (server.ejected_until <= now)
        {
            return missing_reason::none;
        }
        soonest = std::min(soonest, server.ejected_until);
    }
    if (soonest != time_point::never())
    {
        retry_after = soonest - now;
        return missing_reason::no_backend_server;
    }
    return any_staying ? missing_reason::wrong_version : missing_reason::no_backend_server;
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
    const bool is_late = now - late.started_at >= late_after(m_servers[late.server]);
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
        if (!runs_on_for_observation(loser, now))
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

// ---------------------------------------------------------------------------------------------------------
// results and inspection
// ---------------------------------------------------------------------------------------------------------

std::vector<action> scheduler::take_actions()
{
    return std::exchange(m_actions, {});
}

duration scheduler::estimated_wait(int shard) const
{
    if (!is_known_shard(shard))
    {
        return {};
    }
    const shard_state& state = m_shards[static_cast<std::size_t>(shard)];
    double ends_per_ms = 0.0;
    for (const server_index index : state.replicas)
    {
        const server_state& server = m_servers[index];
        const bool counts = !server.is_leaving() && server.ejections_in_row == 0;
        const double hold_ms = std::max(server.recent_latency.ms(), m_mean_hold_ms);
        ends_per_ms += counts && hold_ms > 0.0 ? slots_of(server) / hold_ms : 0.0;
    }
    if (ends_per_ms <= 0.0 || state.queue.empty())
    {
        return {};
    }
    return duration::from_ms(static_cast<double>(state.queue.size()) / ends_per_ms);
}

std::vector<index_version> scheduler::held_versions(int shard) const
{
    std::set<index_version> held;
    if (is_known_shard(shard))
    {
        for (const server_index index : m_shards[static_cast<std::size_t>(shard)].replicas)
        {
            const server_state& server = m_servers[index];
            if (server.versions && !server.is_leaving())
            {
                held.insert(server.versions->begin(), server.versions->end());
            }
        }
    }
    return {held.begin(), held.end()};
}

std::vector<const server_state*> scheduler::servers() const
{
    std::vector<const server_state*> known;
    for (const auto& [name, index] : m_server_index)
    {
        known.push_back(&m_servers[index]);
    }
    return known;
}

std::size_t scheduler::queued() const noexcept
{
    return m_queued;
}

std::size_t scheduler::running() const noexcept
{
    return m_attempts.size();
}

std::uint64_t scheduler::attempts_started() const noexcept
{
    return m_started;
}

std::uint64_t scheduler::finished() const noexcept
{
    return m_finished;
}

double scheduler::budget() const noexcept
{
    return m_budget.tokens();
}

} // namespace flaxtiller::dispatch
