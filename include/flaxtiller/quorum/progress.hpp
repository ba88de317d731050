#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief The replication progress of one other member, as known to the leader.
struct progress
{
    /// The index of the next entry to send.
    log_index next = 1;
    /// The highest index up to which the member's synced log is known to agree with the leader's.
    log_index match = 0;
    /// The sending time of the newest message that the member acknowledged. The lease starts at this time.
    time_point acknowledged_sent_at{};
    /// The time at which the last reply was received.
    time_point last_contact{};
    time_point snapshot_sent_at{};
    bool snapshot_pending = false;
};

} // namespace flaxtiller::quorum
