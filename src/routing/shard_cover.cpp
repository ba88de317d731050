#include "shard_cover.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller::detail
{

namespace
{

/// @return the location that holds the most shards; the first one of several
std::size_t largest_location(const std::vector<location_set>& places, std::size_t count)
{
    std::vector<std::size_t> shards(count, 0);
    for (const location_set set : places)
    {
        for (std::size_t place = 0; set != 0 && place < count; ++place)
        {
            shards[place] += holds(set, place) ? 1 : 0;
        }
    }
    return static_cast<std::size_t>(std::max_element(shards.begin(), shards.end()) - shards.begin());
}

std::vector<std::size_t> take_shards(std::vector<location_set>& places, std::size_t place)
{
    std::vector<std::size_t> taken;
    for (std::size_t shard = 0; shard < places.size(); ++shard)
    {
        if (holds(places[shard], place))
        {
            taken.push_back(shard);
            places[shard] = 0;
        }
    }
    return taken;
}

} // namespace

std::vector<std::vector<std::size_t>> cover(std::vector<location_set> places, std::size_t count,
                                            std::size_t first)
{
    std::vector<std::vector<std::size_t>> chosen(count);
    if (first < count)
    {
        chosen[first] = take_shards(places, first);
    }
    for (std::size_t turn = 0; turn < count; ++turn)
    {
        const std::size_t place = largest_location(places, count);
        std::vector<std::size_t> taken = take_shards(places, place);
        if (taken.empty())
        {
            break;
        }
        chosen[place] = std::move(taken);
    }
    return chosen;
}

} // namespace flaxtiller::detail
