#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace flaxtiller::dispatch
{

/// @brief Identifies a subquery within one scheduler.
using subquery_id = std::uint64_t;

/// @brief Identifies an attempt: the sending of a subquery to one backend server, once.
using attempt_id = std::uint64_t;

/// @brief State shared by the subqueries of one fan-out, the query to many shards from which they originate.
struct fan_out_progress
{
    /// Whether any subquery was answered.
    bool any_answered = false;
    /// The number of overdue subqueries that were sent to a second backend server.
    int hedged_parts = 0;
};

/// @brief The part of a query that concerns one shard, to be run on one of the shard's backend servers.
struct subquery
{
    subquery_id id = 0;
    int shard = 0;
    /// The index version from which the answer must be computed; empty for the newest one.
    index_version version;
    time_point deadline = time_point::never();
    /// Whether the subquery may be run more than once.
    bool repeatable = true;
    /// The maximum number of attempts; 0 for the limit of the scheduler.
    int most_attempts = 0;
    /// Whether another instance may have run the subquery already. Its first attempt is then an extra attempt
    /// and spends from the budget.
    bool again = false;
    /// The backend server that is common to two instances which may run the same subquery without knowledge
    /// of each other's attempts. The first instance uses this backend server and at most one other, and the
    /// instance that runs the subquery again uses only this one, so that at most two backend servers are
    /// used.
    backend_server_name designated;
    /// Set for the subqueries of a fan-out. While none of them is answered, the request itself may be slow,
    /// rather than the backend servers, so that only a few overdue subqueries are hedged.
    std::shared_ptr<fan_out_progress> fan_out;
    /// Whether the subquery is on hold from the start; see scheduler::hold.
    bool held = false;
    /// The regions whose backend servers may be used; null for all.
    std::shared_ptr<const region_set> regions;
    /// The expected latency as a multiple of the usual latency of the service. Latencies are divided by it
    /// before they are compared.
    double size = 1.0;
    /// The request body, which the scheduler does not interpret.
    std::shared_ptr<const std::string> body;
    /// The priority of the request; 0 is the most urgent.
    int priority = 0;
    /// The team that sent the request; empty for none.
    team_name team;
    /// The time until which the answer has its full value.
    time_point objective_at = time_point::never();

    bool operator==(const subquery&) const = default;
};

} // namespace flaxtiller::dispatch
