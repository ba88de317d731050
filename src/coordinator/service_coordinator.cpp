#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace flaxtiller
{

namespace
{

/// Each query has this many numbers for its parts.
constexpr unsigned part_number_bits = 20;

} // namespace

service_coordinator::service_coordinator(instance_name self, service_name service, options limits,
                                         std::uint64_t first_serial)
    : m_self(std::move(self)), m_service(std::move(service)), m_options(limits),
      m_scheduler(limits.scheduling), m_next_serial(first_serial)
{
}

void service_coordinator::handle(const coordinator_event& happened, time_point now)
{
    // What is past its deadline goes first: a process that was stopped for long must not act on old plans.
    expire(now);
    std::visit(
        [&](const auto& event)
        {
            on(event, now);
        },
        happened);
    collect_scheduler_actions(now);
}

std::vector<coordinator_action> service_coordinator::take_actions()
{
    for (auto& [peer, batch] : std::exchange(m_abandons, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    for (auto& [peer, batch] : std::exchange(m_asks, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    for (auto& [peer, batch] : std::exchange(m_answers, {}))
    {
        m_actions.emplace_back(std::move(batch));
    }
    return std::exchange(m_actions, {});
}

time_point service_coordinator::next_time() const noexcept
{
    const time_point deadline = m_deadlines.empty() ? time_point::never() : m_deadlines.begin()->first;
    return std::min(deadline, m_scheduler.next_time());
}

std::size_t service_coordinator::open_queries() const noexcept
{
    return m_queries.size();
}

const dispatch::scheduler& service_coordinator::scheduler() const noexcept
{
    return m_scheduler;
}

const version_view& service_coordinator::versions() const noexcept
{
    return m_versions;
}

// ---------------------------------------------------------------------------------------------------------
// time
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::expire(time_point now)
{
    m_scheduler.on_time(now);
    collect_scheduler_actions(now);
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        const query_id id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        open_query& query = m_queries.at(id);
        query.execution.on_deadline();
        settle(id, query, now);
    }
}

void service_coordinator::on(const time_passed&, time_point)
{
}

// ---------------------------------------------------------------------------------------------------------
// configuration and peers
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::on(const placement_changed& event, time_point now)
{
    const auto before = m_placed;
    m_placed = event.placed;
    const auto found = m_placed->services.find(m_service);
    const placed_service none;
    const placed_service& placed = found == m_placed->services.end() ? none : *found->second;
    if (before && before->services.count(m_service) > 0 &&
        before->services.at(m_service)->shards.size() != placed.shards.size())
    {
        m_versions.clear();
        m_peer_waits.clear();
    }
    rank_owners();
    const auto instances = static_cast<int>(m_placed->instances.size());
    m_scheduler.configure(placed, dispatch::candidate_count(placed, std::max(instances, 1)), now);
}

void service_coordinator::rank_owners()
{
    m_candidates.clear();
    const auto found = m_placed->services.find(m_service);
    if (found == m_placed->services.end())
    {
        return;
    }
    const auto shards = static_cast<int>(found->second->shards.size());
    const int groups = (shards + dispatch::shards_per_owner - 1) / dispatch::shards_per_owner;
    for (int group = 0; group < groups; ++group)
    {
        m_candidates.push_back(dispatch::owner_candidates(m_service, group, *m_placed));
    }
}

instance_name service_coordinator::owner_of(int shard) const
{
    const auto group = static_cast<std::size_t>(shard / dispatch::shards_per_owner);
    if (group >= m_candidates.size())
    {
        return m_self;
    }
    for (const instance_name& candidate : m_candidates[group])
    {
        if (candidate == m_self || m_reachable.count(candidate) > 0)
        {
            return candidate;
        }
    }
    // No candidate can be reached. Its own share of the connections is reserved, so it serves itself.
    return m_self;
}

void service_coordinator::on(const peer_reachable& event, time_point now)
{
    if (event.reachable)
    {
        m_reachable.insert(event.peer);
        return;
    }
    m_reachable.erase(event.peer);
    std::vector<std::pair<std::uint64_t, remote_part>> orphans;
    for (const auto& [number, remote] : m_remote)
    {
        if (remote.owner == event.peer)
        {
            orphans.emplace_back(number, remote);
        }
    }
    std::sort(orphans.begin(), orphans.end(),
              [](const auto& a, const auto& b)
              {
                  return a.first < b.first;
              });
    for (const auto& [number, remote] : orphans)
    {
        m_remote.erase(number);
        const auto query = m_queries.find(remote.query);
        if (query == m_queries.end())
        {
            continue;
        }
        if (query->second.request.repeatable)
        {
            route(remote.query, query->second, remote.part, now);
            continue;
        }
        subquery_result lost;
        lost.shard = remote.part.shard;
        lost.outcome = outcome::unknown;
        lost.reason = missing_reason::owner_unreachable;
        part_over(remote.query, number, lost, now);
    }
    std::vector<std::uint64_t> asked;
    for (const auto& [key, id] : m_for_peers)
    {
        if (key.first == event.peer && m_origins.at(id).repeatable)
        {
            asked.push_back(key.second);
        }
    }
    on(peer_abandoned{event.peer, asked}, now);
}

void service_coordinator::on(const listed& event, time_point now)
{
    m_scheduler.set_leaving(event.server, event.leaving, now);
}

// ---------------------------------------------------------------------------------------------------------
// queries
// ---------------------------------------------------------------------------------------------------------

void service_coordinator::refuse(const query_arrived& event, errc why, duration retry_after)
{
    query_answer told;
    told.refusal = why;
    told.retry_after = retry_after;
    told.revision = m_placed ? m_placed->revision : 0;
    // This sending wasn't run, but only the register knows of earlier ones with the same key.
    told.outcome = event.request.repeatable ? outcome::not_run : outcome::unknown;
    m_actions.emplace_back(answer_caller{event.query, std::move(told)});
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
        const auto heard = m_peer_waits.find(shard);
        if (heard != m_peer_waits.end() && now - heard->second.heard_at < m_options.wait_age)
        {
            longest = std::max(longest, heard->second.wait);
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
    if (m_queries.size() >= m_options.most_queries)
    {
        refuse(event, errc::overloaded, dispatch::admission::least_retry);
        return;
    }
    const std::vector<int> shards = shards_of(event.request);
    const duration wait = longest_wait(shards, now);
    // A short deadline alone is no reason to refuse: it may be met. A queue is.
    const duration usual = wait > duration{} ? m_scheduler.median_latency() : duration{};
    if (!m_admission.admits(wait, usual, event.request.deadline))
    {
        refuse(event, errc::overloaded, m_admission.retry_after(wait, event.request.deadline));
        return;
    }
    const std::uint64_t serial = m_next_serial++;
    query_execution execution(shards, m_placed->revision, serial << part_number_bits);
    const time_point deadline = now + event.request.deadline;
    auto body = std::make_shared<const std::string>(event.request.body);
    open_query opened{event.request, std::move(body), std::move(execution), deadline, false, false};
    auto& query = m_queries.emplace(event.query, std::move(opened)).first->second;
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
    settle(id, query, now);
}

void service_coordinator::send_parts(query_id id, open_query& query, time_point now)
{
    drop_parts(query.execution.take_abandoned(), now);
    for (const query_execution::part& part : query.execution.take_parts())
    {
        route(id, query, part, now);
    }
}

void service_coordinator::route(query_id id, const open_query& query, const query_execution::part& part,
                                time_point now)
{
    const time_point deadline = query.deadline - m_options.way_there_and_back;
    const instance_name owner = owner_of(part.shard);
    if (owner == m_self)
    {
        route_local({id, {}, part.number, query.request.repeatable, query.body}, part, deadline, now);
        return;
    }
    m_remote.emplace(part.number, remote_part{id, owner, part});
    ask_peer& batch = m_asks[owner];
    batch.peer = owner;
    batch.subqueries.push_back(
        {part.number, part.shard, part.version, deadline - now, query.request.repeatable, query.body});
}

void service_coordinator::route_local(const origin& from, const query_execution::part& part,
                                      time_point deadline, time_point now)
{
    const dispatch::subquery_id id = m_next_subquery++;
    m_origins.emplace(id, from);
    if (from.peer.empty())
    {
        m_local.emplace(from.number, id);
    }
    else
    {
        m_for_peers[{from.peer, from.number}] = id;
    }
    dispatch::subquery wanted;
    wanted.id = id;
    wanted.shard = part.shard;
    wanted.version = part.version;
    wanted.deadline = deadline;
    wanted.repeatable = from.repeatable;
    wanted.body = from.body;
    m_scheduler.submit(wanted, now);
}

void service_coordinator::drop_parts(const std::vector<std::uint64_t>& numbers, time_point now)
{
    for (const std::uint64_t number : numbers)
    {
        const auto local = m_local.find(number);
        if (local != m_local.end())
        {
            m_scheduler.abandon(local->second, now);
            m_origins.erase(local->second);
            m_local.erase(local);
        }
        const auto remote = m_remote.find(number);
        if (remote != m_remote.end())
        {
            abandon_at_peer& batch = m_abandons[remote->second.owner];
            batch.peer = remote->second.owner;
            batch.numbers.push_back(number);
            m_remote.erase(remote);
        }
    }
}

void service_coordinator::part_over(query_id id, std::uint64_t number, const subquery_result& result,
                                    time_point now)
{
    m_versions.note(result.shard, result.held_versions);
    const auto found = m_queries.find(id);
    if (found == m_queries.end())
    {
        return;
    }
    open_query& query = found->second;
    if (query.execution.on_result(number, result, m_versions))
    {
        send_parts(id, query, now);
        settle(id, query, now);
    }
}

void service_coordinator::settle(query_id id, open_query& query, time_point now)
{
    if (query.awaits_register && now >= query.deadline)
    {
        // The register's word didn't come in time. Nothing was sent, but an earlier sending may have been
        // run.
        query_answer told = query.execution.answer().value_or(query_answer{});
        if (!query.recorded)
        {
            told.refusal = errc::register_unreachable;
            told.outcome = outcome::unknown;
            m_late_begins.emplace(id, query.request);
        }
        tell(id, std::move(told));
        return;
    }
    if (query.awaits_register || !query.execution.answer())
    {
        return;
    }
    drop_parts(query.execution.take_abandoned(), now);
    if (query.request.repeatable)
    {
        tell(id, *query.execution.answer());
        return;
    }
    query.awaits_register = true;
    query.recorded = true;
    m_deadlines.erase({query.deadline, id});
    query.deadline = now + m_options.record_bound;
    m_deadlines.emplace(query.deadline, id);
    m_actions.emplace_back(register_finish{id, query.request, *query.execution.answer()});
}

void service_coordinator::tell(query_id id, query_answer answer)
{
    const auto found = m_queries.find(id);
    m_deadlines.erase({found->second.deadline, id});
    m_queries.erase(found);
    m_actions.emplace_back(answer_caller{id, std::move(answer)});
}

// ---------------------------------------------------------------------------------------------------------
// results
// ---------------------------------------------------------------------------------------------------------

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
