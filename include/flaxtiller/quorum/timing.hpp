#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller::quorum
{

/// @brief The time limits of elections, leases and replication. All replicas must use the same values.
struct timing
{
    /// The interval of the leader's heartbeats.
    duration heartbeat = duration::from_ms(100);
    /// The minimum election timeout. A follower grants no vote for this long after a message of a leader.
    duration election_min = duration::from_ms(500);
    /// The maximum election timeout. A leader that receives no reply of a majority for this long steps down.
    duration election_max = duration::from_ms(1000);
    /// The interval at which a restarted replica asks the other voters whether they are the leader: a few
    /// round trips between regions.
    duration leadership_query_interval = duration::from_ms(50);
    /// Once no earlier lease can be valid, the restarted replicas start elections within this time, one after
    /// the other, so that one replica is elected before the next one becomes a candidate. The value gives
    /// each voter the time of two round trips between regions and of the processing.
    duration early_election_spread = duration::from_ms(100);
    /// The maximum relative difference between the rates of two monotonic clocks. The lease is shortened by
    /// twice this share.
    double clock_drift = 0.01;
    /// An unacknowledged snapshot is sent again after this time.
    duration snapshot_retry = duration::from_ms(3000);

    bool operator==(const timing&) const = default;
};

} // namespace flaxtiller::quorum
