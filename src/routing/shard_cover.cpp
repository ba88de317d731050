#include "shard_cover.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller::detail
{

namespace
{

/// @return the location that holds the most shards; the first one of several
std::size_t largest_location(const std::vector<location_set>& locations, std::size_t count)
{
    std::vector<std::size_t> shards(count, 0);
    for (const location_set set : locations)
    {
        for (std::size_t location = 0; set != 0 && location < count; ++location)
        {
            shards[location] += contains_location(set, location) ? 1 : 0;
        }
    }
    return static_cast<std::size_t>(std::max_element(shards.begin(), shards.end()) - shards.begin());
}

std::vector<std::size_t> take_shards(std::vector<location_set>& locations, std::size_t location)
{
    std::vector<std::size_t> taken;
    for (std::size_t shard = 0; shard < locations.size(); ++shard)
    {
        if (contains_location(locations[shard], location))
        {
            taken.push_back(shard);
            locations[shard] = 0;
        }
    }
    return taken;
}

} // namespace

std::vector<std::vector<std::size_t>> assign_locations(std::vector<location_set> locations, std::size_t count,
                                                       std::size_t first)
{
    std::vector<std::vector<std::size_t>> chosen(count);
    if (first < count)
    {
        chosen[first] = take_shards(locations, first);
    }
    for (std::size_t turn = 0; turn < count; ++turn)
    {
        const std::size_t location = largest_location(locations, count);
        std::vector<std::size_t> taken = take_shards(locations, location);
        if (taken.empty())
        {
            break;
        }
        chosen[location] = std::move(taken);
    }
    return chosen;
}

} // namespace flaxtiller::detail
