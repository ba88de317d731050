// Handles results of the local scheduler, of other entries and of the register.

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <utility>

namespace flaxtiller
{

void service_coordinator::on(const attempt_ended& event, time_point now)
{
    m_scheduler.on_result(event.attempt, event.result, now);
}

/// @return whether the subquery names its shard by its position among another number of shards than that of
/// the current revision
bool service_coordinator::is_of_other_shards(dispatch::subquery_id id) const
{
    const auto from = m_subquery_origins.find(id);
    return from != m_subquery_origins.end() && from->second.shards != 0 &&
           from->second.shards != shard_count();
}

void service_coordinator::collect_scheduler_actions(time_point now)
{
    for (auto actions = m_scheduler.take_actions(); !actions.empty(); actions = m_scheduler.take_actions())
    {
        for (dispatch::action& item : actions)
        {
            if (auto* start = std::get_if<dispatch::start_attempt>(&item))
            {
                if (is_of_other_shards(start->subquery))
                {
                    m_scheduler.on_not_sent(start->attempt, now);
                    (void)m_scheduler.refuse_waiting(start->subquery, missing_reason::wrong_version, now);
                    continue;
                }
                m_actions.emplace_back(std::move(*start));
                continue;
            }
            if (auto* cancel = std::get_if<dispatch::cancel_attempt>(&item))
            {
                m_actions.emplace_back(std::move(*cancel));
                continue;
            }
            auto& finished = std::get<dispatch::finish_subquery>(item);
            const auto found = m_subquery_origins.find(finished.subquery);
            if (found == m_subquery_origins.end())
            {
                continue;
            }
            const subquery_origin from = found->second;
            m_subquery_origins.erase(found);
            if (from.peer.empty())
            {
                m_local_parts.erase(from.number);
                on_part_result(from.query, from.number, finished.result, now);
                continue;
            }
            m_peer_subqueries.erase({from.peer, from.number});
            send_results_to_peer& batch = m_results_for_peers[from.peer];
            batch.peer = from.peer;
            batch.results.push_back({from.number, std::move(finished.result)});
        }
    }
}

void service_coordinator::on(const peer_delegated& event, time_point now)
{
    for (const peer_subquery& delegated : event.subqueries)
    {
        const time_point deadline = now + delegated.time_left - m_options.round_trip_reserve;
        const query_execution::part part{delegated.number, delegated.shard, delegated.version};
        route_local({0, event.peer, delegated.number, delegated.repeatable, delegated.body, delegated.shards},
                    part, deadline, now);
    }
}

void service_coordinator::on(const peer_answered& event, time_point now)
{
    for (const peer_result& returned : event.results)
    {
        const subquery_result& result = returned.result;
        m_peer_waits[result.shard] = {result.estimated_wait, now};
        const auto found = m_delegated.find(returned.number);
        const bool expected = found != m_delegated.end() && found->second.owner == event.peer;
        if (!expected)
        {
            continue;
        }
        const query_id query = found->second.query;
        m_delegated.erase(found);
        on_part_result(query, returned.number, result, now);
    }
}

void service_coordinator::on(const peer_abandoned& event, time_point now)
{
    for (const std::uint64_t number : event.numbers)
    {
        const auto found = m_peer_subqueries.find({event.peer, number});
        if (found == m_peer_subqueries.end())
        {
            continue;
        }
        const dispatch::subquery_id id = found->second;
        m_peer_subqueries.erase(found);
        if (m_subquery_origins.at(id).repeatable)
        {
            m_scheduler.abandon(id, now);
            m_subquery_origins.erase(id);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// the register
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::on(const register_began& event, time_point now)
{
    const auto abandoned_begin = m_abandoned_begins.find(event.query);
    if (abandoned_begin != m_abandoned_begins.end())
    {
        if (event.reply.status == register_status::granted)
        {
            // The query was answered already. The grant is returned with the outcome that the request was not
            // executed.
            m_actions.emplace_back(register_finish{event.query, abandoned_begin->second, query_answer{}});
        }
        m_abandoned_begins.erase(abandoned_begin);
        return;
    }
    const auto found = m_queries.find(event.query);
    if (found == m_queries.end() || !found->second.awaits_register || found->second.recorded)
    {
        return;
    }
    open_query& query = found->second;
    query_answer final_answer;
    final_answer.revision = m_placed->revision;
    switch (event.reply.status)
    {
    case register_status::granted:
        query.awaits_register = false;
        run(event.query, query, now);
        return;
    case register_status::done:
        final_answer = nlohmann::json::parse(event.reply.answer).get<query_answer>();
        final_answer.repeated = true;
        break;
    case register_status::in_progress:
    case register_status::unknown:
        final_answer.outcome = outcome::unknown;
        for (const int shard : query.request.shards)
        {
            final_answer.missing[shard] = missing_reason::cut;
        }
        break;
    case register_status::key_reused:
        final_answer.refusal = errc::key_reused;
        break;
    case register_status::key_expired:
        // The register no longer knows whether the request was executed.
        final_answer.refusal = errc::key_expired;
        final_answer.outcome = outcome::unknown;
        break;
    case register_status::unreachable:
        // This instance doesn't execute the request, but an earlier request with the same key may have been
        // executed.
        final_answer.refusal = errc::register_unreachable;
        final_answer.outcome = outcome::unknown;
        final_answer.retry_after = m_options.record_timeout;
        break;
    }
    answer_query(event.query, std::move(final_answer));
}

void service_coordinator::on(const register_finished& event, time_point)
{
    const auto found = m_queries.find(event.query);
    if (found != m_queries.end() && found->second.recorded)
    {
        answer_query(event.query, *found->second.execution.answer());
    }
}

} // namespace flaxtiller
