#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <cstddef>
#include <map>
#include <utility>

namespace flaxtiller::dispatch
{

/// @brief The number of subqueries of one priority and team that wait for a slot.
struct waiting_count
{
    /// Replacements of overdue attempts, and work that can still meet its objective.
    std::size_t on_time = 0;
    /// Work that can no longer meet its objective.
    std::size_t late = 0;

    auto operator<=>(const waiting_count&) const = default;
};

/// @brief Counts by priority and team.
using waiting_counts = std::map<std::pair<int, team_name>, waiting_count>;

} // namespace flaxtiller::dispatch
