#pragma once

/// @file
/// The subcommands of the `flaxtiller` command. Each takes its flags from gflags and prints errors to the
/// standard error stream.

#include <string>
#include <vector>

namespace flaxtiller::command
{

/// @brief The implementation of a subcommand.
/// @param arguments the positional arguments that follow the name of the subcommand
/// @return the exit status of the process, see exit_status
using run_command = int (*)(const std::vector<std::string>& arguments);

int run_entry(const std::vector<std::string>& arguments);
int run_control(const std::vector<std::string>& arguments);
int run_check(const std::vector<std::string>& arguments);
int run_apply(const std::vector<std::string>& arguments);
int run_status(const std::vector<std::string>& arguments);
int run_evacuate(const std::vector<std::string>& arguments);
int run_members(const std::vector<std::string>& arguments);
int run_dump(const std::vector<std::string>& arguments);
int run_query(const std::vector<std::string>& arguments);
int run_replay(const std::vector<std::string>& arguments);

} // namespace flaxtiller::command
