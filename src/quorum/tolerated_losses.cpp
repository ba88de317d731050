#include <flaxtiller/quorum/tolerated_losses.hpp>

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

namespace flaxtiller::quorum
{

namespace
{

/// @return the number of voters that are lost with the @a lost places that have most of them
std::size_t most_lost(const member_set& members, const std::map<replica_name, replica_place>& places,
                      std::string replica_place::*kind, std::size_t lost)
{
    std::map<std::string, std::size_t> voters_of_place;
    std::size_t unknown = 0;
    for (const auto& [name, item] : members.members)
    {
        const auto place = places.find(name);
        if (!item.voter)
        {
            continue;
        }
        if (place == places.end())
        {
            ++unknown;
        }
        else
        {
            ++voters_of_place[place->second.*kind];
        }
    }
    std::vector<std::size_t> counts;
    for (const auto& [place, count] : voters_of_place)
    {
        counts.push_back(count);
    }
    std::sort(counts.begin(), counts.end(), std::greater<>());
    counts.resize(std::min(counts.size(), lost));
    return std::accumulate(counts.begin(), counts.end(), unknown);
}

} // namespace

bool tolerated_losses::are_outlasted_by(const member_set& members,
                                        const std::map<replica_name, replica_place>& places) const
{
    const auto outlasts = [&](std::string replica_place::*kind, std::size_t lost)
    {
        return lost == 0 || members.voters() >= members.majority() + most_lost(members, places, kind, lost);
    };
    return members.voters() >= least_voters() && outlasts(&replica_place::zone, zones) &&
           outlasts(&replica_place::region, regions);
}

} // namespace flaxtiller::quorum
