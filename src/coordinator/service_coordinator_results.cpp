// What the local scheduler, other entries and the register answer.

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <utility>

namespace flaxtiller
{

void service_coordinator::on(const attempt_ended& event, time_point now)
{
    m_scheduler.on_result(event.attempt, event.result, now);
}

void service_coordinator::collect_scheduler_actions(time_point now)
{
    for (auto todo = m_scheduler.take_actions(); !todo.empty(); todo = m_scheduler.take_actions())
    {
        for (dispatch::action& item : todo)
        {
            if (auto* start = std::get_if<dispatch::start_attempt>(&item))
            {
                m_actions.emplace_back(std::move(*start));
                continue;
            }
            if (auto* cancel = std::get_if<dispatch::cancel_attempt>(&item))
            {
                m_actions.emplace_back(std::move(*cancel));
                continue;
            }
            auto& over = std::get<dispatch::finish_subquery>(item);
            const auto found = m_origins.find(over.subquery);
            if (found == m_origins.end())
            {
                continue;
            }
            const origin from = found->second;
            m_origins.erase(found);
            if (from.peer.empty())
            {
                m_local.erase(from.number);
                part_over(from.query, from.number, over.result, now);
                continue;
            }
            m_for_peers.erase({from.peer, from.number});
            answer_peer& batch = m_answers[from.peer];
            batch.peer = from.peer;
            batch.results.push_back({from.number, std::move(over.result)});
        }
    }
}

void service_coordinator::on(const peer_asked& event, time_point now)
{
    for (const peer_subquery& asked : event.subqueries)
    {
        const time_point deadline = now + asked.left - m_options.way_there_and_back;
        const query_execution::part part{asked.number, asked.shard, asked.version};
        route_local({0, event.peer, asked.number, asked.repeatable, asked.body}, part, deadline, now);
    }
}

void service_coordinator::on(const peer_answered& event, time_point now)
{
    for (const peer_result& answered : event.results)
    {
        const subquery_result& result = answered.result;
        m_peer_waits[result.shard] = {result.estimated_wait, now};
        const auto found = m_remote.find(answered.number);
        const bool awaited = found != m_remote.end() && found->second.owner == event.peer;
        if (!awaited)
        {
            continue;
        }
        const query_id query = found->second.query;
        m_remote.erase(found);
        part_over(query, answered.number, result, now);
    }
}

void service_coordinator::on(const peer_abandoned& event, time_point now)
{
    for (const std::uint64_t number : event.numbers)
    {
        const auto found = m_for_peers.find({event.peer, number});
        if (found == m_for_peers.end())
        {
            continue;
        }
        const dispatch::subquery_id id = found->second;
        m_for_peers.erase(found);
        if (m_origins.at(id).repeatable)
        {
            m_scheduler.abandon(id, now);
            m_origins.erase(id);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// the register
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::on(const register_began& event, time_point now)
{
    const auto late = m_late_begins.find(event.query);
    if (late != m_late_begins.end())
    {
        if (event.reply.status == register_status::granted)
        {
            // Nobody waits any more: give the grant back, proved not run.
            m_actions.emplace_back(register_finish{event.query, late->second, query_answer{}});
        }
        m_late_begins.erase(late);
        return;
    }
    const auto found = m_queries.find(event.query);
    if (found == m_queries.end() || !found->second.awaits_register || found->second.recorded)
    {
        return;
    }
    open_query& query = found->second;
    query_answer told;
    told.revision = m_placed->revision;
    switch (event.reply.status)
    {
    case register_status::granted:
        query.awaits_register = false;
        run(event.query, query, now);
        return;
    case register_status::done:
        told = nlohmann::json::parse(event.reply.answer).get<query_answer>();
        told.repeated = true;
        break;
    case register_status::in_progress:
    case register_status::unknown:
        told.outcome = outcome::unknown;
        for (const int shard : query.request.shards)
        {
            told.missing[shard] = missing_reason::cut;
        }
        break;
    case register_status::key_reused:
        told.refusal = errc::key_reused;
        break;
    case register_status::key_expired:
        // Whether it was run is forgotten.
        told.refusal = errc::key_expired;
        told.outcome = outcome::unknown;
        break;
    case register_status::unreachable:
        // This instance won't run it, but an earlier sending may have been run.
        told.refusal = errc::register_unreachable;
        told.outcome = outcome::unknown;
        told.retry_after = m_options.record_bound;
        break;
    }
    tell(event.query, std::move(told));
}

void service_coordinator::on(const register_finished& event, time_point)
{
    const auto found = m_queries.find(event.query);
    if (found != m_queries.end() && found->second.recorded)
    {
        tell(event.query, *found->second.execution.answer());
    }
}

} // namespace flaxtiller
