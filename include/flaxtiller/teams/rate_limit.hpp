#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller
{

/// @brief How many requests a team may send, over all instances together.
struct rate_limit
{
    /// Zero for no limit.
    double requests_per_s = 0.0;
    /// Requests that may come at once after a pause.
    double burst = 0.0;

    bool operator==(const rate_limit&) const = default;

    /// @return whether there is a limit
    bool is_set() const noexcept
    {
        return requests_per_s > 0.0;
    }
};

/// @brief By how much all instances together may exceed a limit: of what it allows in a window, a share and a
/// number of requests more.
struct rate_tolerance
{
    duration window = duration::from_ms(5000);
    double overage = 0.0;
    double slack = 0.0;

    bool operator==(const rate_tolerance&) const = default;

    /// @return the most requests of any window
    double max_requests_per_window(const rate_limit& limit) const noexcept
    {
        return limit_per_window(limit) * (1.0 + overage) + slack;
    }

    /// @return the requests of a window that the limit itself allows
    double limit_per_window(const rate_limit& limit) const noexcept
    {
        constexpr double ms_per_s = 1000.0;
        return limit.requests_per_s * window.ms() / ms_per_s + limit.burst;
    }
};

} // namespace flaxtiller
