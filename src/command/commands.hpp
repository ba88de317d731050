#pragma once

#include <string>
#include <vector>

namespace flaxtiller::command
{

/// @brief A subcommand: its positional arguments in, its exit status out.
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
