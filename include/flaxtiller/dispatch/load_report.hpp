#pragma once

#include <optional>
#include <string_view>

namespace flaxtiller::dispatch
{

/// @brief The load that a backend server reported with an answer.
///
/// A report is a hint: it may be delayed, and other senders may have sent requests since.
struct load_report
{
    /// The greatest number that a report may state.
    static constexpr int max_count = 1'000'000;

    /// The numbers of requests that the backend server runs and that wait there.
    int running = 0;
    int waiting = 0;
    /// The number of requests that it runs at once; at least 1.
    int slots = 1;
    /// How long work takes there at the moment, as a multiple of the usual time; 1 where it is not reported.
    double slowdown = 1.0;

    bool operator==(const load_report&) const = default;
};

/// @brief Parses a report: the requests running, the requests waiting and the slots, and optionally the time
/// that work takes in percent of the usual time, separated by commas.
/// @return nothing if a figure is missing, surplus, not numeric, negative or out of range
std::optional<load_report> parse_load_report(std::string_view text);

} // namespace flaxtiller::dispatch
