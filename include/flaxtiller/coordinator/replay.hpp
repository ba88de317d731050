#pragma once

#include <flaxtiller/core/findings.hpp>

#include <cstddef>
#include <istream>

namespace flaxtiller
{

/// @brief What a replay found.
struct replay_report
{
    std::size_t events = 0;
    /// Answers that the trace states, and how many of them came out the same.
    std::size_t expected_answers = 0;
    std::size_t matching_answers = 0;
    /// Malformed lines, and answers that differ, each with its line.
    findings found;
};

/// @brief Feeds a recorded trace to the decisions and compares the answers with those stated in it.
/// @param trace one JSON object a line, as an entry records with the setting `/trace/file`
replay_report replay(std::istream& trace);

} // namespace flaxtiller
