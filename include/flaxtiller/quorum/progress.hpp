#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief What a leader knows of one other member.
struct progress
{
    log_index next = 1;
    log_index match = 0;
    /// When the newest acknowledged message was sent; the lease counts from there.
    time_point acknowledged_sent_at{};
    /// When it was last heard from at all.
    time_point last_contact{};
    time_point snapshot_sent_at{};
    bool snapshot_pending = false;
};

} // namespace flaxtiller::quorum
