#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller
{

/// @brief The limit for the requests of a team over all instances together.
struct rate_limit
{
    /// The sustained rate; 0 for no limit.
    double requests_per_s = 0.0;
    /// The number of requests that may arrive at once after a pause.
    double burst = 0.0;

    bool operator==(const rate_limit&) const = default;

    /// @return whether there is a limit
    bool is_set() const noexcept
    {
        return requests_per_s > 0.0;
    }
};

/// @brief The tolerated excess over a limit for all instances together: in each window, a share of the
/// allowed requests plus a fixed number of requests.
struct rate_tolerance
{
    duration window = duration::from_ms(5000);
    double overage = 0.0;
    double slack = 0.0;

    bool operator==(const rate_tolerance&) const = default;

    /// @return the highest tolerated number of requests in any window
    double max_requests_per_window(const rate_limit& limit) const noexcept
    {
        return limit_per_window(limit) * (1.0 + overage) + slack;
    }

    /// @return the number of requests in a window that the limit allows without tolerance
    double limit_per_window(const rate_limit& limit) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        return limit.requests_per_s * window.ms() / ms_per_s + limit.burst;
    }
};

} // namespace flaxtiller
