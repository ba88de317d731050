#pragma once

#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/types.hpp>

#include <string>

namespace flaxtiller::quorum
{

/// @brief The purpose of a log entry.
enum class entry_kind : std::uint8_t
{
    /// The first entry of a leader's term. It does not change the replicated state.
    no_operation = 0,
    /// A command for the replicated state.
    command = 1,
    /// A new member set. A replica uses it as soon as the entry is in its log, committed or not.
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
