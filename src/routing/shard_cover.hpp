#pragma once

#include <flaxtiller/routing/location_set.hpp>

#include <vector>

namespace flaxtiller::detail
{

/// @brief Assigns each shard to one of its locations, with as few locations as a greedy set cover finds.
///
/// The location @a first gets all shards that it holds. The location that holds the most of the remaining
/// shards follows, until no shard is left.
/// @param locations by shard: the locations that hold a replica
/// @param count the number of locations
/// @param first the preferred location; @a count or greater for none
/// @return by location: the assigned shards
std::vector<std::vector<std::size_t>> assign_locations(std::vector<location_set> locations, std::size_t count,
                                                       std::size_t first);

} // namespace flaxtiller::detail
