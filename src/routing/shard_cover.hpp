#pragma once

#include <flaxtiller/routing/place_set.hpp>

#include <vector>

namespace flaxtiller::detail
{

/// @brief Gives each shard one of its places, so that few places have all: @a first takes what it can, then
/// the one that holds most of the rest, and so on.
/// @param places by shard
/// @param count the number of places
/// @param first a place, or one beyond the last for none
/// @return shards by place
std::vector<std::vector<std::size_t>> cover(std::vector<location_set> places, std::size_t count,
                                            std::size_t first);

} // namespace flaxtiller::detail
