#pragma once

#include <flaxtiller/core/time_point.hpp>

namespace flaxtiller::dispatch
{

/// @brief Decides, before anything is sent, whether a whole query can be answered in time.
///
/// A query is admitted or refused as a whole: shards that refuse each for itself would leave every answer
/// partial under overload.
struct admission
{
    /// Share of the time left that the longest wait and one late attempt may take.
    double usable_share = 0.8;

    /// @param longest_wait the longest estimated wait among the query's shards
    /// @param late_after how long an attempt takes before it counts as late
    /// @param left the time left until the deadline
    /// @return whether to admit the query
    bool admits(duration longest_wait, duration late_after, duration left) const noexcept
    {
        constexpr double attempts = 2.0;
        return longest_wait + late_after * attempts <= left * usable_share;
    }

    /// @return when to come back after a refusal: once the queue has drained enough
    duration retry_after(duration longest_wait, duration left) const noexcept
    {
        const duration excess = longest_wait - left * usable_share;
        return excess > least_retry ? excess : least_retry;
    }

    static constexpr duration least_retry = duration::from_ms(10);
};

} // namespace flaxtiller::dispatch
