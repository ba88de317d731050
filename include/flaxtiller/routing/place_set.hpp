#pragma once

#include <cstddef>
#include <cstdint>

namespace flaxtiller::detail
{

/// Availability zones or regions, by their positions in the order of their names.
using location_set = std::uint64_t;

inline constexpr std::size_t max_locations = 64;

/// @return whether the place is in the set
inline bool holds(location_set places, std::size_t place) noexcept
{
    return place < max_locations && ((places >> place) & 1U) != 0;
}

/// @return the set of this place; the empty set for a place beyond the last one
inline location_set only(std::size_t place) noexcept
{
    return place < max_locations ? location_set{1} << place : 0;
}

} // namespace flaxtiller::detail
