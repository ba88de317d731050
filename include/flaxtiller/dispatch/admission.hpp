#pragma once

#include <flaxtiller/core/time_point.hpp>

namespace flaxtiller::dispatch
{

/// @brief Admission control: decides, before any subquery is sent, whether a query can be answered before its
/// deadline.
///
/// The decision covers all shards of the query together. If each shard refused subqueries independently,
/// nearly every answer would be partial under overload.
struct admission
{
    /// The share of the remaining time that queueing and processing together may take.
    double usable_share = 0.8;

    /// @param longest_wait the longest estimated queueing time among the query's shards
    /// @param median_latency the median latency of an attempt; zero where it is unknown
    /// @param left the time remaining until the deadline
    /// @return whether to admit the query
    bool admits(duration longest_wait, duration median_latency, duration left) const noexcept
    {
        // The slowest of many shards takes several times the median, and an attempt that replaces an overdue
        // one starts from the beginning.
        constexpr double slowest_of_many = 4.0;
        return longest_wait + median_latency * slowest_of_many <= left * usable_share;
    }

    /// @return the time after which a refused client should retry: when the queue has drained enough for the
    /// query to be admitted
    duration retry_after(duration longest_wait, duration left) const noexcept
    {
        const duration excess = longest_wait - left * usable_share;
        return excess > min_retry_after ? excess : min_retry_after;
    }

    static constexpr duration min_retry_after = duration::from_ms(10);
};

} // namespace flaxtiller::dispatch
