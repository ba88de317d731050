#pragma once

#include <cstddef>
#include <cstdint>

namespace flaxtiller::detail
{

/// A set of locations (availability zones or regions) as a bit mask. A location is numbered by its position
/// in the alphabetical order of the names.
using location_set = std::uint64_t;

inline constexpr std::size_t max_locations = 64;

/// @return whether the set contains the location
inline bool contains_location(location_set locations, std::size_t location) noexcept
{
    return location < max_locations && ((locations >> location) & 1U) != 0;
}

/// @return the set of this one location; the empty set if the number is @ref max_locations or greater
inline location_set single_location(std::size_t location) noexcept
{
    return location < max_locations ? location_set{1} << location : 0;
}

} // namespace flaxtiller::detail
