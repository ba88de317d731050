#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/distribution/change_bounds.hpp>
#include <flaxtiller/quorum/timing.hpp>

namespace flaxtiller::shell
{

/// @brief The times by which the links between our processes are watched.
struct link_timing
{
    /// A message is sent to each peer at least this often. The default notices a dead owner within a tenth of
    /// a usual objective.
    duration heartbeat = duration::from_ms(50);
    /// A peer from which nothing arrived for this long is unreachable.
    duration silence = duration::from_ms(250);
    /// A link on which nothing arrived for this long is replaced by a new one.
    duration redial = duration::from_ms(2000);

    bool operator==(const link_timing&) const = default;
};

/// The share of the shortest bound after which a silent link is replaced. The rest is for a new link, which
/// takes several round trips, and for what was lost with the old one.
inline constexpr double detection_share = 0.5;

/// @return the times with which a change still meets @a bounds if a link on its way falls silent
/// @param bounds at least one time must be agreed
link_timing link_timing_within(const distribution::change_bounds& bounds) noexcept;

/// @return the times for links between control replicas: a silent link is replaced before it costs the leader
/// its role
link_timing link_timing_between_replicas(const link_timing& general,
                                         const quorum::timing& elections) noexcept;

} // namespace flaxtiller::shell
