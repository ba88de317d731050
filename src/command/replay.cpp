#include "commands.hpp"
#include "exit_status.hpp"

#include <flaxtiller/coordinator/replay.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <fstream>

namespace flaxtiller::command
{

int run_replay(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1)
    {
        fmt::print(stderr, "replay needs one trace file\n");
        return usage;
    }
    std::ifstream trace(arguments[0]);
    if (!trace)
    {
        fmt::print(stderr, "cannot open {}\n", arguments[0]);
        return refused;
    }
    const replay_report report = replay(trace);
    fmt::print("{}", report.found.to_text());
    fmt::print("{} events, {} recorded answers, {} matching\n", report.events, report.expected_answers,
               report.matching_answers);
    return report.found.has_errors() ? refused : success;
}

} // namespace flaxtiller::command
