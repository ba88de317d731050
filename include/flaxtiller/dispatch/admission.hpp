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
    /// Share of the time left that the longest wait and the work itself may take.
    double usable_share = 0.8;

    /// @param longest_wait the longest estimated wait among the query's shards
    /// @param median_latency how long an attempt usually takes; zero where that isn't known
    /// @param left the time left until the deadline
    /// @return whether to admit the query
    bool admits(duration longest_wait, duration median_latency, duration left) const noexcept
    {
        // The slowest of many shards takes several times the median, and a replaced attempt begins anew.
        constexpr double slowest_of_many = 4.0;
        return longest_wait + median_latency * slowest_of_many <= left * usable_share;
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
