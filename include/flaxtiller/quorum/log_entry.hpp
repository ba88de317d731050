#pragma once

#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/types.hpp>

#include <string>

namespace flaxtiller::quorum
{

/// @brief What an entry is for.
enum class entry_kind : std::uint8_t
{
    /// Opens a leader's term; it has no effect.
    no_operation = 0,
    /// A command of the replicated state.
    command = 1,
    /// A new member set, in force as soon as it stands in a log.
    members = 2,
};

/// @brief One entry of the replicated log.
struct log_entry
{
    log_index index = 0;
    term_number term = 0;
    entry_kind kind = entry_kind::command;
    std::string command;
    member_set members;

    bool operator==(const log_entry&) const = default;
};

} // namespace flaxtiller::quorum
