#pragma once

#include <flaxtiller/core/duration.hpp>

#include <cstddef>

namespace flaxtiller::dispatch
{

/// @brief The ages of the load reports of a service's backend servers.
struct report_ages
{
    /// The ages of the oldest and the newest report that has a weight; zero if there is none.
    duration oldest{};
    duration newest{};
    /// The number of backend servers with such a report, and without one.
    std::size_t with = 0;
    std::size_t without = 0;

    bool operator==(const report_ages&) const = default;
};

} // namespace flaxtiller::dispatch
