#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/dispatch/failure_rate.hpp>
#include <flaxtiller/dispatch/latency_estimator.hpp>
#include <flaxtiller/dispatch/subquery.hpp>
#include <flaxtiller/dispatch/token_budget.hpp>
#include <flaxtiller/dispatch/warmup_share.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flaxtiller::dispatch
{

/// Latencies after which older ones count half, for a single backend server: some seconds' worth.
inline constexpr double server_memory = 200.0;

/// @brief What a scheduler knows of one backend server, from the answers that it got itself.
struct server_state
{
    backend_server definition;
    /// Counts the lives of it that were seen, so that an end of an earlier one isn't taken for this one's.
    int life = 0;
    /// The shards that it holds.
    std::vector<int> shards;
    /// Attempts that hold one of its slots, those being cancelled included.
    int in_use = 0;
    /// Those of them that are late.
    int late_in_use = 0;
    int recent_samples = 0;
    /// A moving average of latencies, for the choice between backend servers.
    duration recent_latency{};
    /// Its own latencies; only kept where they decide what is late.
    latency_estimator latency{server_memory};
    time_point observed_at{};
    /// The attempt that waits at the backend server for a slot, if one does; 0 for none.
    attempt_id ahead = 0;
    time_point shed_at = time_point() - duration::from_ms(3600000);
    /// It said that it is full until then.
    time_point busy_until{};
    /// When it last said whether it is leaving.
    time_point said_leaving_at{};
    /// The platform's list says that it is leaving.
    bool listed_leaving = false;
    /// It said itself, in its last answer, that it is leaving.
    bool said_leaving = false;
    /// No longer in the placement; kept until its last attempt ended.
    bool retired = false;
    /// Its availability zone's region; empty where that isn't known.
    std::string region;
    /// It stands in this instance's region.
    bool near = false;
    /// The versions it said it holds; nothing before its first answer.
    std::optional<std::vector<index_version>> versions;

    /// Attempts that it refused or lost, among its recent ones.
    failure_rate failures;
    int failures_in_row = 0;
    int ejections_in_row = 0;
    time_point ejected_until{};

    /// It is cold until then, and gets no more than this instance's share of what it bears.
    time_point cold_until{};
    warmup_share cold_share;
    token_budget cold_tokens{0.0, 0.0};

    int cancel_failures_in_row = 0;
    time_point replace_paused_until{};

    /// @brief Forgets what was observed of an earlier life; attempts that hold a slot still end.
    void begin_life();

    /// @return whether new work must not go there, by any of the three sources
    bool is_leaving() const noexcept
    {
        return definition.leaving || listed_leaving || said_leaving || retired;
    }
};

} // namespace flaxtiller::dispatch
