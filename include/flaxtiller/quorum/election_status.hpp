#pragma once

#include <flaxtiller/quorum/types.hpp>

#include <cstddef>
#include <set>

namespace flaxtiller::quorum
{

/// @brief The eligibility of a replica as a candidate, and the votes of its last election.
struct election_status
{
    /// The number of voters in the newest member set of the replica's log, and how many of them must vote for
    /// a candidate.
    std::size_t voters = 0;
    std::size_t majority = 0;
    /// Whether the replica is one of these voters, under its present incarnation.
    bool is_voter = false;
    /// Whether a leader has committed entries that the replica's log doesn't contain.
    bool lacks_committed_entries = false;
    /// Whether a lease of a leader before the replica's start may still be valid.
    bool awaits_previous_lease_end = false;
    /// The voters that granted or refused their votes in the replica's last election, pre-votes included.
    std::set<replica_name> granted;
    std::set<replica_name> refused;

    bool operator==(const election_status&) const = default;
};

} // namespace flaxtiller::quorum
