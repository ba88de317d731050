#pragma once

#include <flaxtiller/dispatch/waiting_count.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

namespace flaxtiller::shell
{

/// The number of pairs of priority and team that a state dump lists.
inline constexpr std::size_t most_reported_pairs = 10;

/// @return the waiting work for the state dump: the pairs of priority and team with the most waiting work,
/// largest first, and the sum of the others
nlohmann::json waiting_report(const dispatch::waiting_counts& counts, std::size_t most = most_reported_pairs);

} // namespace flaxtiller::shell
