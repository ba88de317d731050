#include "link_timing.hpp"

#include <algorithm>

namespace flaxtiller::shell
{

link_timing link_timing_within(const distribution::change_bounds& bounds) noexcept
{
    // Two heartbeats may be late or lost.
    constexpr double heartbeats_per_silence = 3.0;
    const duration detection = bounds.shortest() * detection_share;
    return {detection * (1.0 / heartbeats_per_silence), detection, detection};
}

link_timing link_timing_between_replicas(const link_timing& general, const quorum::timing& elections) noexcept
{
    return {std::min(general.heartbeat, elections.heartbeat),
            std::min(general.silence, elections.election_min),
            std::min(general.redial, elections.election_min)};
}

} // namespace flaxtiller::shell
