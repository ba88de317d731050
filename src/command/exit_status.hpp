#pragma once

namespace flaxtiller::command
{

/// @brief Exit statuses of the `flaxtiller` command; docs/commands.md lists them.
enum exit_status : int
{
    success = 0,
    /// Settings, documents or answers with errors; what is wrong is printed.
    refused = 1,
    /// Unknown subcommand or flag, or a missing argument.
    usage = 2,
    /// No process answered, or none that may.
    unreachable = 3,
    /// Another change was accepted first.
    conflict = 4,
    /// It isn't known whether the change or request took effect; send it again with the same id.
    unknown_outcome = 5,
    /// The answer doesn't cover all shards.
    partial = 6,
};

} // namespace flaxtiller::command
