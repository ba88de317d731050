#pragma once

#include <flaxtiller/core/duration.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::bench
{

/// @brief What a backend server does with work that finds its slots full.
enum class when_full
{
    queue,
    shed,
};

/// @brief How subqueries are sent.
enum class policy
{
    flaxtiller,
    single_try,
    fixed_hedge,
    all_replicas,
};

/// @brief One run of the policy bench: the load and what goes wrong.
struct situation
{
    std::string name;
    double load = 0.5;
    bench::when_full when_full = when_full::queue;
    bench::policy policy = policy::flaxtiller;
    int fan_out = 30;
    int queries = 5000;
    std::uint64_t seed = 1;

    /// Share of attempts that take @ref straggler_ms more.
    double straggler_share = 0.01;
    double straggler_ms = 100.0;
    /// The first backend server of shard 0 takes this many times as long.
    double slow_factor = 1.0;
    /// From a third to two thirds of the run the first backend server of shard 0 refuses connections.
    bool lost_replica = false;
    /// As above, but it comes back cold: this many times slower for two seconds.
    double cold_factor = 1.0;
    /// Backend servers ignore cancels.
    bool cancel_ignored = false;
    /// During the middle third the load is multiplied by this.
    double burst_factor = 1.0;
    duration deadline = duration::from_ms(1000);
};

/// @brief What a run measured.
struct measurement
{
    double p50_ms = 0;
    double p99_ms = 0;
    double p999_ms = 0;
    double max_ms = 0;
    /// Share of shards answered, over all queries that were not refused as a whole.
    double coverage = 0;
    /// Share of queries answered by all shards.
    double whole_answers = 0;
    double extra_load = 0;
    /// Whole answers a second as a share of what the slots could carry, over the middle third.
    double useful_throughput = 0;
    /// Queries refused as a whole, and how long the slowest refusal took.
    double refused = 0;
    double refusal_ms = 0;
    /// p99 of queries that began more than two seconds after the middle third ended.
    double p99_after_ms = 0;
    /// Most attempts at once on one backend server, as seen by it.
    int most_in_use = 0;
};

} // namespace flaxtiller::bench
