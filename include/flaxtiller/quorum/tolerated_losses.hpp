#pragma once

#include <flaxtiller/quorum/member_set.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace flaxtiller::quorum
{

/// @brief The availability zone of a replica and the region that the zone is in.
struct replica_place
{
    std::string zone;
    std::string region;

    bool operator==(const replica_place&) const = default;
};

/// @brief The losses that a member set must outlast, one kind at a time: a number of replicas together with
/// their disks, or all replicas of a number of availability zones, or of regions.
struct tolerated_losses
{
    std::size_t replicas = 1;
    std::size_t zones = 0;
    std::size_t regions = 0;

    bool operator==(const tolerated_losses&) const = default;

    /// @return the least number of voters of which a majority outlasts the loss of any @ref replicas of them
    std::size_t least_voters() const noexcept
    {
        return 2 * replicas + 1;
    }

    /// @brief Decides whether a voter may be removed for its silence. Its disk may be intact, so the other
    /// voters must outlast the losses without it, as far as the set with it does.
    /// @param before the member set with the voter
    /// @param after the member set without it
    /// @param places the places of the replicas, as far as they are known; a voter whose place is unknown is
    /// counted among the lost ones of each zone and region
    /// @complexity O(v log v) for v voters
    bool allow(const member_set& before, const member_set& after,
               const std::map<replica_name, replica_place>& places) const;
};

} // namespace flaxtiller::quorum
