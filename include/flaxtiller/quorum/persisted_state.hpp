#pragma once

#include <flaxtiller/quorum/hard_state.hpp>
#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <vector>

namespace flaxtiller::quorum
{

/// @brief The state of a replica that is stored on disk and read when the replica starts.
struct persisted_state
{
    hard_state hard;
    snapshot base;
    /// The entries after @ref base, without gaps.
    std::vector<log_entry> entries;

    bool operator==(const persisted_state&) const = default;
};

} // namespace flaxtiller::quorum
