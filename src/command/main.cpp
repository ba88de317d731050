#include "commands.hpp"
#include "exit_status.hpp"

#include "platform/run.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace
{

using namespace flaxtiller::command;

/// @brief An entry of the table of subcommands, with the texts of its help.
struct subcommand
{
    std::string_view name;
    run_command run;
    std::string_view arguments;
    std::string_view summary;
    /// The names of the accepted flags, comma-separated.
    std::string_view flags;
};

constexpr std::array subcommands{
    subcommand{"entry", run_entry, "", "serve callers", "settings"},
    subcommand{"control", run_control, "", "run a control replica (configuration and request register)",
               "settings,init"},
    subcommand{"check", run_check, "entry|control|configuration FILE", "check a file and print all findings",
               ""},
    subcommand{"apply", run_apply, "FILE", "change the configuration",
               "control,id,base,kind,dry_run,timeout_ms"},
    subcommand{"evacuate", run_evacuate, "ZONE start|stop, or list",
               "stop or resume new requests to a zone's backend servers", "control,id,timeout_ms"},
    subcommand{"status", run_status, "", "show replicas, active revisions and their age",
               "control,timeout_ms"},
    subcommand{"members", run_members, "add|replace|remove NAME", "change the control replicas",
               "control,timeout_ms"},
    subcommand{"dump", run_dump, "", "print the state of one process", "at,timeout_ms"},
    subcommand{"query", run_query, "SERVICE [BODY]", "ask an entry to answer a query, as a caller",
               "at,shards,deadline_ms,key,key_time_ms,timeout_ms"},
    subcommand{"platform", flaxtiller::platform::run, "entry|control",
               "run a process on the users' hosting platform (docs/platform.md)", ""},
    subcommand{"replay", run_replay, "FILE", "run a recorded trace and compare its answers", ""},
};

void print_usage(std::FILE* to)
{
    fmt::print(to, "usage: flaxtiller SUBCOMMAND [--flag=value ...] [argument ...]\n\n");
    for (const subcommand& item : subcommands)
    {
        fmt::print(to, "  {:<8} {:<34} {}\n", item.name, item.arguments, item.summary);
    }
    fmt::print(to, "\nflaxtiller SUBCOMMAND --help shows the flags of a subcommand.\n");
}

bool accepts_flag(const subcommand& item, std::string_view flag)
{
    std::string_view remaining = item.flags;
    while (!remaining.empty())
    {
        const auto comma = remaining.find(',');
        if (remaining.substr(0, comma) == flag)
        {
            return true;
        }
        remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
    }
    return false;
}

void print_help(const subcommand& item)
{
    fmt::print("usage: flaxtiller {} [flags] {}\n\n{}\n\n", item.name, item.arguments, item.summary);
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const auto& flag : flags)
    {
        if (accepts_flag(item, flag.name))
        {
            fmt::print("  --{:<14} {} (default {})\n", flag.name, flag.description,
                       flag.default_value.empty() ? "none" : flag.default_value);
        }
    }
}

/// @brief Checks that each flag on the command line belongs to the subcommand.
///
/// gflags terminates the process on an unknown flag, but accepts the flags of all subcommands.
bool has_only_own_flags(const subcommand& item, int argc, char** argv)
{
    for (int i = 2; i < argc; ++i)
    {
        const std::string_view argument = argv[i];
        const auto begin = argument.find_first_not_of('-');
        if (begin == 0 || begin == std::string_view::npos)
        {
            continue;
        }
        const std::string_view flag = argument.substr(begin, argument.find('=') - begin);
        const bool negated = flag.substr(0, 2) == "no" && accepts_flag(item, flag.substr(2));
        if (!accepts_flag(item, flag) && !negated)
        {
            fmt::print(stderr, "flaxtiller {}: --{} is not a flag of this subcommand\n", item.name, flag);
            return false;
        }
    }
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 2)
    {
        print_usage(stderr);
        return usage;
    }
    const std::string_view name = argv[1];
    if (name == "--help" || name == "help")
    {
        print_usage(stdout);
        return success;
    }
    const auto found = std::find_if(subcommands.begin(), subcommands.end(),
                                    [&](const subcommand& item)
                                    {
                                        return item.name == name;
                                    });
    if (found == subcommands.end())
    {
        fmt::print(stderr, "flaxtiller: unknown subcommand {}\n\n", name);
        print_usage(stderr);
        return usage;
    }
    for (int i = 2; i < argc; ++i)
    {
        const std::string_view argument = argv[i];
        if (argument == "--help" || argument == "-help")
        {
            print_help(*found);
            return success;
        }
    }
    if (!has_only_own_flags(*found, argc, argv))
    {
        return usage;
    }
    int remaining_count = argc - 1;
    char** remaining = argv + 1;
    gflags::ParseCommandLineFlags(&remaining_count, &remaining, true);
    return found->run({remaining + 1, remaining + remaining_count});
}
