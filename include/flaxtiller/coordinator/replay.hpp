#pragma once

#include <flaxtiller/core/findings.hpp>

#include <cstddef>
#include <istream>

namespace flaxtiller
{

/// @brief The result of a replay.
struct replay_report
{
    std::size_t events = 0;
    /// The number of answers in the trace, and the number of them that the replay reproduced.
    std::size_t expected_answers = 0;
    std::size_t matching_answers = 0;
    /// The malformed lines and the differing answers, with their line numbers.
    findings found;
};

/// @brief Feeds the events of a recorded trace to a @ref service_coordinator per service, and compares its
/// answers with the answers in the trace.
/// @param trace one JSON object per line, as an entry writes it with the setting `/trace/file`
replay_report replay(std::istream& trace);

} // namespace flaxtiller
