#pragma once

#include <flaxtiller/quorum/hard_state.hpp>
#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/message.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <optional>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief What the shell must do after it fed events to a @ref replica, in the order of the members.
struct output
{
    /// May be sent at once.
    std::vector<message> send_now;
    /// Write, if set.
    std::optional<hard_state> hard;
    /// Write, if set: it takes the place of the whole log.
    std::optional<snapshot> install;
    /// Cut the log, if set: entries from this index on are void.
    std::optional<log_index> truncate_from;
    /// Write at the log's end.
    std::vector<log_entry> append;
    /// Send once all the above is synced, after @ref replica::on_synced.
    std::vector<message> send_after_sync;
    /// Apply to the replicated state, once the above is synced.
    std::vector<log_entry> committed;

    /// @return whether something must be synced
    bool must_sync() const noexcept
    {
        return hard.has_value() || install.has_value() || truncate_from.has_value() || !append.empty();
    }
};

} // namespace flaxtiller::quorum
