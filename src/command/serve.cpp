/// @file
/// The subcommands that run a process: `entry` and `control`.

#include "commands.hpp"
#include "exit_status.hpp"

#include "control/control_process.hpp"
#include "entry/entry_process.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>

DEFINE_string(settings, "", "the settings file of the process, JSON with comments");
DEFINE_bool(init, false,
            "initialize the empty data folder as the first member of new replicated logs, then exit");

namespace flaxtiller::command
{

namespace
{

/// @brief Prints all findings.
/// @return whether there is no error
bool print_findings(const findings& found)
{
    fmt::print(stderr, "{}", found.to_text());
    return !found.has_errors();
}

/// @brief Checks that --settings is given and that there are no positional arguments.
bool has_only_settings(const std::vector<std::string>& arguments)
{
    if (arguments.empty() && !FLAGS_settings.empty())
    {
        return true;
    }
    fmt::print(stderr, "needs --settings=FILE and no other arguments\n");
    return false;
}

/// @brief Reads the settings file that --settings names.
shell::settings_source open_settings_file(findings& found)
{
    const auto read = [file = FLAGS_settings](findings& read_findings)
    {
        return shell::read_file(file, read_findings);
    };
    return shell::open_settings(FLAGS_settings, read, found);
}

} // namespace

int run_entry(const std::vector<std::string>& arguments)
{
    if (!has_only_settings(arguments))
    {
        return usage;
    }
    findings found;
    const shell::settings_source source = open_settings_file(found);
    const shell::entry_settings settings = shell::parse_entry_settings(source.text, source.file, found);
    if (!print_findings(found))
    {
        return refused;
    }
    std::signal(SIGPIPE, SIG_IGN);
    shell::configure_log("entry/" + settings.instance.name, settings.least_level);
    shell::entry_process process(settings, source);
    if (!print_findings(process.open()))
    {
        return refused;
    }
    return process.run();
}

int run_control(const std::vector<std::string>& arguments)
{
    if (!has_only_settings(arguments))
    {
        return usage;
    }
    findings found;
    const shell::settings_source source = open_settings_file(found);
    const shell::control_settings settings = shell::parse_control_settings(source.text, source.file, found);
    if (!print_findings(found))
    {
        return refused;
    }
    std::signal(SIGPIPE, SIG_IGN);
    shell::configure_log("control/" + settings.replica.name, settings.least_level);
    shell::control_process process(settings, source);
    if (!print_findings(process.open()))
    {
        return refused;
    }
    if (FLAGS_init)
    {
        return print_findings(process.bootstrap_logs()) ? success : refused;
    }
    return process.run();
}

} // namespace flaxtiller::command
