#include <flaxtiller/quorum/tolerated_losses.hpp>

#include <algorithm>
#include <functional>
#include <numeric>
#include <vector>

namespace flaxtiller::quorum
{

namespace
{

/// The voters of a member set by one kind of place.
struct voters_by_place
{
    std::map<std::string, std::size_t> known;
    /// The number of voters whose place isn't known.
    std::size_t unknown = 0;
};

voters_by_place count_voters(const member_set& members, const std::map<replica_name, replica_place>& places,
                             std::string replica_place::*kind)
{
    voters_by_place counted;
    for (const auto& [name, item] : members.members)
    {
        const auto place = places.find(name);
        if (!item.voter)
        {
            continue;
        }
        if (place == places.end())
        {
            ++counted.unknown;
        }
        else
        {
            ++counted.known[place->second.*kind];
        }
    }
    return counted;
}

/// @return the number of voters in the @a lost places that have most of them
std::size_t most_in(const voters_by_place& counted, std::size_t lost)
{
    std::vector<std::size_t> counts;
    for (const auto& [place, count] : counted.known)
    {
        counts.push_back(count);
    }
    std::sort(counts.begin(), counts.end(), std::greater<>());
    counts.resize(std::min(counts.size(), lost));
    return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
}

/// @return whether a majority of the voters is left without some of them
bool outlasts(const member_set& members, std::size_t lost_voters)
{
    return members.voters() >= members.majority() + lost_voters;
}

} // namespace

bool tolerated_losses::allow(const member_set& before, const member_set& after,
                             const std::map<replica_name, replica_place>& places) const
{
    // A set that is too small for the losses keeps the number of voters that outlasts as many as it can.
    const std::size_t largest_odd = before.members.empty() ? 0 : (before.members.size() - 1) / 2 * 2 + 1;
    const auto keeps = [&](std::string replica_place::*kind, std::size_t lost)
    {
        const voters_by_place now = count_voters(before, places, kind);
        const voters_by_place then = count_voters(after, places, kind);
        // A voter whose place isn't known may be in any of the lost ones.
        return lost == 0 || outlasts(after, most_in(then, lost) + then.unknown) ||
               !outlasts(before, most_in(now, lost));
    };
    return after.voters() >= std::min(least_voters(), largest_odd) && keeps(&replica_place::zone, zones) &&
           keeps(&replica_place::region, regions);
}

} // namespace flaxtiller::quorum
