#pragma once

#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief The election state of a replica. A replica writes it to disk before it sends a message that depends
/// on it.
struct hard_state
{
    term_number term = 0;
    /// The candidate that received this replica's vote in @ref term; empty if none did.
    replica_name voted_for;
    /// The highest commit index that a leader reported to this replica. A candidate whose log is shorter gets
    /// no vote, because its data folder was restored from an old copy.
    log_index known_commit = 0;

    bool operator==(const hard_state&) const = default;
};

} // namespace flaxtiller::quorum
