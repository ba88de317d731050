#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief What can be turned in a @ref router.
struct router_options
{
    dispatch::scheduler_options scheduling;
    /// A fan-out answers with what is in once this share of the objective has passed: the rest is the way
    /// to and from the caller, counted from the caller's own start.
    double objective_share = 0.85;
    /// Kept back from the objective and from the caller's patience for the way back.
    duration way_back = duration::from_ms(5);
    /// Requests under way; one more is refused.
    std::size_t most_requests = 2000;
    /// When a caller that was refused for want of a backend server or of room shall come back, at least.
    duration least_retry = duration::from_ms(100);

    /// What the way to and from another entry is taken to cost before it was measured: two regions apart.
    duration first_way_elsewhere = duration::from_ms(30);
    /// A fan-out that another entry runs is run here, too, if no answer came this long after it was due:
    /// more than a busy entry's delay, less than what is left to most deadlines.
    duration elsewhere_grace = duration::from_ms(40);

    /// What operators allow over all instances in a window of time, for each service: so many attempts beyond
    /// the first for each request, and so many more.
    double retry_ratio = 0.1;
    double retry_slack = 20.0;
    /// Of that, this share is spent by what one instance sees. The rest is for what it can't: requests that
    /// other instances run on its behalf twice, and the instances' uneven shares.
    double retry_share = 0.8;

    bool operator==(const router_options&) const = default;
};

} // namespace flaxtiller
