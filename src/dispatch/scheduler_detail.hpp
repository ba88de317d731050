#pragma once

#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/query/missing_reason.hpp>

namespace flaxtiller::dispatch::detail
{

/// Samples of its own that a backend server needs before it can count as slow.
inline constexpr int enough_server_samples = 20;
inline constexpr std::size_t enough_service_samples = 32;
/// A slow backend server's attempts are late at the latest after this multiple of the service's own limit.
inline constexpr double most_late_ratio = 3.0;
/// Outliers count in the moving average at most as this multiple of the median.
inline constexpr double outlier_ratio = 4.0;
/// A backend server that fails nearly always counts as this bad, so that there is still an order among such.
inline constexpr double most_failing = 0.95;
/// Failure rates that differ by less are alike: about one failure among the attempts remembered.
inline constexpr double failing_band = 0.15;
/// What a lost part counts for in the choice between backend servers, as a multiple of the median latency:
/// about what is left of the time of a fan-out whose objective is ten medians. Where one of each pair of
/// replicas refuses three of five attempts, urgent requests keep 0.98 of their worth in place of 0.94, and
/// none of 2,800 wide ones fails in place of 41 (play in virtual time, 105 fan-outs a second over 20 pairs).
inline constexpr double lost_part_latencies = 10.0;
inline constexpr double slowest_average_weight = 0.1;
/// Weight of one attempt in the mean time for which a slot is held.
inline constexpr double mean_hold_weight = 0.01;
/// How far into a queue a freed slot looks for work that this backend server can do.
inline constexpr int queue_look_ahead = 8;
inline constexpr duration least_park = duration::from_ms(2);
inline constexpr duration most_park = duration::from_ms(100);

/// Replacements of late attempts go before all other waiting work.
inline constexpr time_point front_of_queue{};

inline bool was_not_run(attempt_status status) noexcept
{
    return status == attempt_status::unreachable || status == attempt_status::shed ||
           status == attempt_status::leaving || status == attempt_status::wrong_version;
}

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
