#pragma once

#include <flaxtiller/quorum/hard_state.hpp>
#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/message.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <optional>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief The actions that the caller of a @ref replica must carry out after an event, in the order of the
/// data members.
struct output
{
    /// Messages to send without waiting for a sync.
    std::vector<message> send_now;
    /// The hard state to write, if set.
    std::optional<hard_state> hard;
    /// The snapshot to write in place of the complete log, if set.
    std::optional<snapshot> install;
    /// If set, entries from this index on must be removed from the stored log.
    std::optional<log_index> truncate_from;
    /// Entries to append to the stored log.
    std::vector<log_entry> append;
    /// Messages to send once all of the above is synced, after the call of @ref replica::on_synced.
    std::vector<message> send_after_sync;
    /// Committed entries to apply to the replicated state, once all of the above is synced.
    std::vector<log_entry> committed;

    /// @return whether something must be synced
    bool must_sync() const noexcept
    {
        return hard.has_value() || install.has_value() || truncate_from.has_value() || !append.empty();
    }
};

} // namespace flaxtiller::quorum
