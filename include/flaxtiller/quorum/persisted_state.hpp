#pragma once

#include <flaxtiller/quorum/hard_state.hpp>
#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <vector>

namespace flaxtiller::quorum
{

/// @brief What a replica finds on its disk when it starts.
struct persisted_state
{
    hard_state hard;
    snapshot base;
    /// Entries after @ref base, without gaps.
    std::vector<log_entry> entries;

    bool operator==(const persisted_state&) const = default;
};

} // namespace flaxtiller::quorum
