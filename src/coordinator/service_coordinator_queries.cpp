// Handles queries from their arrival to their answer.

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace flaxtiller
{

namespace
{

/// The number of bits that part numbers of a query occupy below the serial number of the query.
constexpr unsigned part_number_bits = 20;

} // namespace

void service_coordinator::refuse(const query_arrived& event, errc error, duration retry_after)
{
    query_answer final_answer;
    final_answer.refusal = error;
    final_answer.retry_after = retry_after;
    final_answer.revision = m_placed ? m_placed->revision : 0;
    // This request was not executed, but only the register knows whether an earlier request with the same key
    // was.
    final_answer.outcome = event.request.repeatable ? outcome::not_run : outcome::unknown;
    m_actions.emplace_back(answer_caller{event.query, std::move(final_answer)});
}

std::vector<int> service_coordinator::shards_of(const query_request& request) const
{
    if (!request.shards.empty())
    {
        return request.shards;
    }
    std::vector<int> all(m_placed->services.at(m_service)->shards.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
}

/// @return the number of shards of the service in the current revision; 0 if it isn't declared
int service_coordinator::shard_count() const
{
    if (!m_placed)
    {
        return 0;
    }
    const auto found = m_placed->services.find(m_service);
    return found == m_placed->services.end() ? 0 : static_cast<int>(found->second->shards.size());
}

bool service_coordinator::shards_known(const query_request& request) const
{
    const auto count = static_cast<int>(m_placed->services.at(m_service)->shards.size());
    return std::all_of(request.shards.begin(), request.shards.end(),
                       [&](int shard)
                       {
                           return shard >= 0 && shard < count;
                       });
}

duration service_coordinator::longest_wait(const std::vector<int>& shards, time_point now) const
{
    duration longest{};
    for (const int shard : shards)
    {
        if (owner_of(shard) == m_self)
        {
            longest = std::max(longest, m_scheduler.estimated_wait(shard));
            continue;
        }
        const auto received = m_peer_waits.find(shard);
        if (received != m_peer_waits.end() &&
            now - received->second.received_at < m_options.peer_wait_validity)
        {
            longest = std::max(longest, received->second.wait);
        }
    }
    return longest;
}

void service_coordinator::on(const query_arrived& event, time_point now)
{
    if (!m_placed || m_placed->services.count(m_service) == 0)
    {
        refuse(event, errc::unknown_service, {});
        return;
    }
    if (!shards_known(event.request))
    {
        refuse(event, errc::unknown_shard, {});
        return;
    }
    if (m_queries.size() >= m_options.max_open_queries)
    {
        refuse(event, errc::overloaded, dispatch::admission::min_retry_after);
        return;
    }
    const std::vector<int> shards = shards_of(event.request);
    const duration wait = longest_wait(shards, now);
    // A short deadline alone is no reason for a refusal, since the answer may still be in time. The typical
    // latency counts only if there is a queue.
    const duration typical_latency = wait > duration{} ? m_scheduler.median_latency() : duration{};
    if (!m_admission.admits(wait, typical_latency, event.request.deadline))
    {
        refuse(event, errc::overloaded, m_admission.retry_after(wait, event.request.deadline));
        return;
    }
    const std::uint64_t serial = m_next_serial++;
    query_execution execution(shards, m_placed->revision, serial << part_number_bits);
    const time_point deadline = now + event.request.deadline;
    auto body = std::make_shared<const std::string>(event.request.body);
    open_query new_query{event.request, std::move(body), std::move(execution), deadline, shard_count(), false,
                         false};
    auto& query = m_queries.emplace(event.query, std::move(new_query)).first->second;
    m_deadlines.emplace(deadline, event.query);
    if (query.request.repeatable)
    {
        run(event.query, query, now);
        return;
    }
    query.awaits_register = true;
    m_actions.emplace_back(register_begin{event.query, query.request});
}

void service_coordinator::run(query_id id, open_query& query, time_point now)
{
    query.execution.start(m_versions);
    send_parts(id, query, now);
    finish_if_complete(id, query, now);
}

void service_coordinator::send_parts(query_id id, open_query& query, time_point now)
{
    cancel_parts(query.execution.take_abandoned(), now);
    for (const query_execution::part& part : query.execution.take_parts())
    {
        route(id, query, part, now);
    }
}

void service_coordinator::route(query_id id, const open_query& query, const query_execution::part& part,
                                time_point now)
{
    const time_point deadline = query.deadline - m_options.round_trip_reserve;
    const instance_name owner = owner_of(part.shard);
    if (owner == m_self)
    {
        route_local({id, {}, part.number, query.request.repeatable, query.body, query.shards}, part, deadline,
                    now);
        return;
    }
    m_delegated.emplace(part.number, delegated_part{id, owner, part});
    delegate_to_peer& batch = m_delegations[owner];
    batch.peer = owner;
    batch.subqueries.push_back({part.number, part.shard, query.shards, part.version, deadline - now,
                                query.request.repeatable, query.body});
}

void service_coordinator::route_local(const subquery_origin& from, const query_execution::part& part,
                                      time_point deadline, time_point now)
{
    const dispatch::subquery_id id = m_next_subquery++;
    m_subquery_origins.emplace(id, from);
    if (from.peer.empty())
    {
        m_local_parts.emplace(from.number, id);
    }
    else
    {
        m_peer_subqueries[{from.peer, from.number}] = id;
    }
    dispatch::subquery local_subquery;
    local_subquery.id = id;
    local_subquery.shard = part.shard;
    local_subquery.version = part.version;
    local_subquery.deadline = deadline;
    local_subquery.repeatable = from.repeatable;
    local_subquery.body = from.body;
    m_scheduler.submit(local_subquery, now);
}

void service_coordinator::cancel_parts(const std::vector<std::uint64_t>& numbers, time_point now)
{
    for (const std::uint64_t number : numbers)
    {
        const auto local = m_local_parts.find(number);
        if (local != m_local_parts.end())
        {
            m_scheduler.abandon(local->second, now);
            m_subquery_origins.erase(local->second);
            m_local_parts.erase(local);
        }
        const auto delegated = m_delegated.find(number);
        if (delegated != m_delegated.end())
        {
            abandon_delegated& batch = m_abandoned_for_peers[delegated->second.owner];
            batch.peer = delegated->second.owner;
            batch.numbers.push_back(number);
            m_delegated.erase(delegated);
        }
    }
}

void service_coordinator::on_part_result(query_id id, std::uint64_t number, const subquery_result& result,
                                         time_point now)
{
    m_versions.set_versions(result.shard, result.held_versions);
    const auto found = m_queries.find(id);
    if (found == m_queries.end())
    {
        return;
    }
    open_query& query = found->second;
    if (query.execution.on_result(number, result, m_versions))
    {
        send_parts(id, query, now);
        finish_if_complete(id, query, now);
    }
}

void service_coordinator::finish_if_complete(query_id id, open_query& query, time_point now)
{
    if (query.awaits_register && now >= query.deadline)
    {
        // The register didn't answer in time. If the query was not granted, no subquery was sent, but an
        // earlier request with the same key may have been executed.
        query_answer final_answer = query.execution.answer().value_or(query_answer{});
        if (!query.recorded)
        {
            final_answer.refusal = errc::register_unreachable;
            final_answer.outcome = outcome::unknown;
            m_abandoned_begins.emplace(id, query.request);
        }
        answer_query(id, std::move(final_answer));
        return;
    }
    if (query.awaits_register || !query.execution.answer())
    {
        return;
    }
    cancel_parts(query.execution.take_abandoned(), now);
    if (query.request.repeatable)
    {
        answer_query(id, *query.execution.answer());
        return;
    }
    query.awaits_register = true;
    query.recorded = true;
    m_deadlines.erase({query.deadline, id});
    query.deadline = now + m_options.record_timeout;
    m_deadlines.emplace(query.deadline, id);
    m_actions.emplace_back(register_finish{id, query.request, *query.execution.answer()});
}

void service_coordinator::answer_query(query_id id, query_answer answer)
{
    const auto found = m_queries.find(id);
    m_deadlines.erase({found->second.deadline, id});
    m_queries.erase(found);
    m_actions.emplace_back(answer_caller{id, std::move(answer)});
}

} // namespace flaxtiller
