#pragma once

#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/query/missing_reason.hpp>

namespace flaxtiller::dispatch::detail
{

/// The number of samples that a backend server needs before it can count as slow.
inline constexpr int min_server_samples = 20;
/// The number of samples of the service that are needed before they determine when an attempt is overdue.
inline constexpr std::size_t min_service_samples = 32;
/// The upper bound of the age at which an attempt on a slow backend server is overdue, as a multiple of the
/// age for the whole service.
inline constexpr double max_overdue_ratio = 3.0;
/// The moving average counts a latency as at most this multiple of the median.
inline constexpr double outlier_ratio = 4.0;
/// A higher failure rate counts as this one, so that the expected latency stays finite and backend servers
/// that nearly always fail can still be ordered by latency.
inline constexpr double max_counted_failure_rate = 0.95;
/// Failure rates that differ by less count as equal. The value is about one failure among the attempts that
/// @ref failure_rate covers.
inline constexpr double failure_rate_tolerance = 0.15;
/// The cost of a lost subquery in the choice between backend servers, as a multiple of the median latency. It
/// is about the time that remains for a fan-out whose latency objective is ten medians. In a simulation of
/// 105 fan-outs per second over 20 pairs of replicas, one of each pair refusing three of five attempts, this
/// cost raised the worth of urgent requests from 0.94 to 0.98 of the maximum, and reduced the failed wide
/// requests from 41 to none of 2,800.
inline constexpr double lost_part_penalty = 10.0;
/// The least weight of a sample in the moving average of the latencies of a backend server.
inline constexpr double min_average_weight = 0.1;
/// The weight of one attempt in the moving average of the time for which an attempt uses a slot.
inline constexpr double mean_hold_weight = 0.01;
/// The number of queued subqueries of a shard that are examined for a free slot, as some may not be eligible
/// for the backend server.
inline constexpr int queue_scan_limit = 8;
/// The bounds of the time for which a subquery waits once all backend servers failed, and for which a backend
/// server that shed gets no attempts.
inline constexpr duration min_backoff = duration::from_ms(2);
inline constexpr duration max_backoff = duration::from_ms(100);

/// How often an idle shard starts an attempt that its estimates give no chance.
inline constexpr duration probe_interval = duration::from_ms(500);

/// @return whether an attempt with this status was certainly not run
inline bool was_not_run(attempt_status status) noexcept
{
    return status == attempt_status::unreachable || status == attempt_status::shed ||
           status == attempt_status::leaving || status == attempt_status::wrong_version;
}

/// @return the reason that is given for a subquery whose last attempt ended with this status
inline missing_reason reason_for(attempt_status status) noexcept
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

} // namespace flaxtiller::dispatch::detail
