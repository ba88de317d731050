#pragma once

namespace flaxtiller::command
{

/// @brief Exit statuses of the `flaxtiller` command; docs/commands.md lists them.
enum exit_status : int
{
    success = 0,
    /// The settings, the document or the answer contains errors, which are printed.
    refused = 1,
    /// Unknown subcommand or flag, or a missing argument.
    usage = 2,
    /// No process answered, or none of those that answered was able to serve the request.
    unreachable = 3,
    /// The change is based on an outdated revision, since another change was accepted first.
    conflict = 4,
    /// It is unknown whether the change or request took effect; it can be repeated safely with the same id or
    /// key.
    unknown_outcome = 5,
    /// The answer does not cover all shards.
    partial = 6,
};

} // namespace flaxtiller::command
