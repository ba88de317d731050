#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/dispatch/failure_rate.hpp>
#include <flaxtiller/dispatch/latency_estimator.hpp>
#include <flaxtiller/dispatch/reported_load.hpp>
#include <flaxtiller/dispatch/subquery.hpp>
#include <flaxtiller/dispatch/token_budget.hpp>
#include <flaxtiller/dispatch/warmup_share.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flaxtiller::dispatch
{

/// The number of samples of one backend server after which the weights of older samples are halved; it
/// corresponds to a few seconds.
inline constexpr double server_latency_memory = 200.0;

/// @brief The state of one backend server as known to one scheduler, from the configuration and from the
/// answers to the scheduler's own attempts.
struct server_state
{
    backend_server definition;
    /// The number of process runs of the backend server that were seen. The result of an attempt that was
    /// sent to a previous run is not attributed to the current one.
    int run_number = 0;
    /// The shards that the backend server holds.
    std::vector<int> shards;
    /// The number of attempts that use one of the slots, including attempts whose cancel is not confirmed
    /// yet.
    int in_use = 0;
    /// The number of these attempts that are overdue.
    int overdue_in_use = 0;
    /// The number of samples in the moving average of the latencies.
    int recent_samples = 0;
    /// The moving average of the latencies, for the choice between backend servers.
    duration recent_latency{};
    /// The latencies of this backend server, recorded only for scheduler_options::overdue_by_server.
    latency_estimator latency{server_latency_memory};
    /// The time of the last sample.
    time_point observed_at{};
    /// The pipelined attempt, which waits at the backend server for a slot; 0 for none.
    attempt_id pipelined_attempt = 0;
    /// The time at which the backend server last shed an attempt.
    time_point shed_at = time_point() - duration::from_ms(3600000);
    /// The time until which no attempts are sent, because the backend server shed one.
    time_point busy_until{};
    /// The time of the last answer that reported whether the backend server is leaving.
    time_point reported_leaving_at{};
    /// Whether the platform's list marks the backend server as leaving.
    bool listed_leaving = false;
    /// Whether the last answer of the backend server reported that it is leaving.
    bool reported_leaving = false;
    /// Whether the backend server is no longer in the placement; its state is kept until its last attempt
    /// ends.
    bool retired = false;
    /// The region of the availability zone; empty where it is unknown.
    std::string region;
    /// Whether the backend server is located in this instance's region.
    bool in_own_region = false;
    /// The index versions that the backend server reported; empty optional before its first answer.
    std::optional<std::vector<index_version>> versions;

    /// The load that the backend server reported, used only for scheduler_options::reads_server_load.
    reported_load reported;

    /// The share of recent attempts that failed.
    failure_rate failures;
    int failures_in_row = 0;
    int ejections_in_row = 0;
    time_point ejected_until{};

    /// The time until which the backend server is cold; until then it receives at most this instance's share
    /// of its warm-up capacity.
    time_point cold_until{};
    warmup_share cold_share;
    token_budget cold_tokens{0.0, 0.0};

    int cancel_failures_in_row = 0;
    /// The time until which overdue attempts are not cancelled and replaced, because cancels failed.
    time_point replace_paused_until{};

    /// @brief Discards the observations of the previous process run. Attempts that use a slot continue to be
    /// counted until they end.
    void reset_for_new_run();

    /// @return whether the backend server must not receive new subqueries according to the configuration, the
    /// platform's list, its own reports, or its absence from the placement
    bool is_leaving() const noexcept
    {
        return definition.leaving || listed_leaving || reported_leaving || retired;
    }
};

} // namespace flaxtiller::dispatch
