#pragma once

#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief What a replica must have on disk before it answers.
struct hard_state
{
    term_number term = 0;
    replica_name voted_for;
    /// The highest index that a leader was heard to call committed. A candidate whose log is shorter gets no
    /// vote: its folder was put back from an old copy.
    log_index known_commit = 0;

    bool operator==(const hard_state&) const = default;
};

} // namespace flaxtiller::quorum
