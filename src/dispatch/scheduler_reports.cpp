// The part of the class scheduler that uses the load reports of backend servers.

#include <flaxtiller/dispatch/scheduler.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

bool scheduler::has_reported_load(const server_state& server, time_point now) const
{
    return m_options.reads_server_load && server.reported.weight(now) > 0.0;
}

/// @return the expected latency with the reported load, from the average of recent latencies
duration scheduler::with_reported_load(const server_state& server, duration average, time_point now) const
{
    if (!has_reported_load(server, now))
    {
        return average;
    }
    return server.reported.expected_latency(average, server.in_use, m_latency.median(), now);
}

std::optional<duration> scheduler::predicted_wait(const server_state& server, time_point now) const
{
    if (!has_reported_load(server, now))
    {
        return std::nullopt;
    }
    return server.reported.predicted_wait(server.in_use, m_latency.median(), now);
}

duration scheduler::estimated_wait(int shard, time_point now) const
{
    return estimated_wait(shard) + reported_wait(shard, now);
}

/// @return the shortest wait for the requests of other senders among the shard's backend servers
duration scheduler::reported_wait(int shard, time_point now) const
{
    if (!m_options.reads_server_load || !is_known_shard(shard))
    {
        return {};
    }
    std::optional<duration> shortest;
    for (const server_index index : m_shards[static_cast<std::size_t>(shard)].replicas)
    {
        const server_state& server = m_servers[index];
        if (server.is_leaving() || server.ejections_in_row > 0)
        {
            continue;
        }
        const duration wait = server.reported.expected_wait(server.in_use, m_latency.median(), now);
        shortest = shortest ? std::min(*shortest, wait) : wait;
    }
    return shortest.value_or(duration{});
}

report_ages scheduler::ages_of_reports(time_point now) const
{
    report_ages ages;
    for (const auto& [name, index] : m_server_index)
    {
        const server_state& server = m_servers[index];
        const auto age = server.reported.age(now);
        if (server.retired)
        {
            continue;
        }
        if (!age)
        {
            ++ages.without;
            continue;
        }
        ages.oldest = std::max(ages.oldest, *age);
        ages.newest = ages.with == 0 ? *age : std::min(ages.newest, *age);
        ++ages.with;
    }
    return ages;
}

} // namespace flaxtiller::dispatch
