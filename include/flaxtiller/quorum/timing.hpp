#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller::quorum
{

/// @brief The time limits of election and lease. All replicas must use the same.
struct timing
{
    duration heartbeat = duration::from_ms(100);
    /// A follower that heard from a leader grants no vote for this long.
    duration election_min = duration::from_ms(500);
    duration election_max = duration::from_ms(1000);
    /// A replica that restarted asks the others this often whether they lead: a few round trips between
    /// regions.
    duration leadership_query_interval = duration::from_ms(50);
    /// Once no earlier lease can be in force, restarted replicas stand for election within this time, one
    /// after the other, so that one of them is elected before the next one stands: for each voter the time of
    /// two round trips between regions, and of the work.
    duration early_election_spread = duration::from_ms(100);
    /// Bound on how far the rates of two monotonic clocks differ; the lease is shorter by twice this share.
    double clock_drift = 0.01;
    /// A snapshot that wasn't acknowledged is sent again after this long.
    duration snapshot_retry = duration::from_ms(3000);

    bool operator==(const timing&) const = default;
};

} // namespace flaxtiller::quorum
