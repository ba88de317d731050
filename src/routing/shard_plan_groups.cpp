// Planning of one list of shards: division into groups and the choice of each group's candidates.

#include <flaxtiller/routing/shard_plan.hpp>

#include "shard_cover.hpp"

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flaxtiller
{

using detail::assign_locations;
using detail::contains_location;
using detail::single_location;

namespace
{

/// The size of the cache of rankings. Each takes four bytes per entry of the zone: 0.4 MB at 50 entries.
constexpr std::size_t max_rankings = 2048;

/// @return the square root of the number of shards: the messages of the delegating entry (one per group) and
/// of an owner (one per shard) are fewest in sum if there are as many groups as shards in each
std::size_t group_size(std::size_t shards)
{
    return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(shards))));
}

/// @return the number of groups rounded to an even number, so that adding or removing a shard seldom changes
/// it
std::size_t damped_group_count(std::size_t groups)
{
    constexpr std::size_t exact_up_to = 4;
    return groups <= exact_up_to ? groups : groups + groups % 2;
}

} // namespace

void shard_plan::plan(const route& matched_route, list_plan& into)
{
    ++m_lists_planned;
    into.owners.assign(matched_route.fan_out.size(), {});
    const std::size_t own_zone = zone_index(m_zone_name);
    std::vector<planned_group> own;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        if (!into.owned && zone != own_zone)
        {
            continue;
        }
        const std::vector<planned_group> groups = plan_from(matched_route, into, zone, m_zones[zone].region);
        for (const planned_group& item : groups)
        {
            const auto counting =
                static_cast<std::ptrdiff_t>(std::min(budgeted_owners, item.runner_candidates.size()));
            for (const std::size_t shard : item.shards)
            {
                std::vector<entry_index>& owners = into.owners[shard];
                owners.insert(owners.end(), item.runner_candidates.begin(),
                              item.runner_candidates.begin() + counting);
            }
        }
        if (zone == own_zone)
        {
            own = groups;
        }
    }
    if (own_zone == no_index)
    {
        own = plan_from(matched_route, into, no_index, region_index(m_region_name));
    }
    for (const planned_group& item : own)
    {
        into.groups.push_back(to_group(item));
    }
}

shard_plan::location_set shard_plan::regions_of(location_set zones) const
{
    location_set regions = 0;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        regions |= contains_location(zones, zone) ? single_location(m_zones[zone].region) : 0;
    }
    return regions;
}

/// Plans the groups for the entries of one availability zone.
/// @param zone the delegating entry's zone; @ref no_index if that zone is not listed
std::vector<shard_plan::planned_group> shard_plan::plan_from(const route& matched_route,
                                                             const list_plan& list, std::size_t zone,
                                                             std::size_t own_region)
{
    location_set near = 0;
    for (std::size_t other = 0; other < m_zones.size(); ++other)
    {
        near |= m_zones[other].region == own_region ? single_location(other) : 0;
    }
    std::vector<location_set> near_zones(list.zones.size());
    std::vector<location_set> far_zones(list.zones.size());
    std::vector<std::size_t> far;
    for (std::size_t shard = 0; shard < list.zones.size(); ++shard)
    {
        near_zones[shard] = list.zones[shard] & near;
        if (near_zones[shard] == 0)
        {
            far_zones[shard] = list.zones[shard];
            far.push_back(shard);
        }
    }
    std::vector<planned_group> groups;
    if (!list.owned)
    {
        add_far_groups(list, far, groups);
        return groups;
    }
    const auto near_cover = assign_locations(near_zones, m_zones.size(), zone);
    for (std::size_t at = 0; at < near_cover.size(); ++at)
    {
        add_owned_groups(matched_route, at, near_cover[at], "", groups);
    }
    // A few entries near the far replicas run the shards for all of the delegating region, so that these
    // entries keep their connections open and have latency estimates.
    const std::string region_name =
        own_region < m_regions.size() ? m_regions[own_region].name : m_region_name;
    const auto far_cover = assign_locations(far_zones, m_zones.size(), no_index);
    for (std::size_t at = 0; at < far_cover.size(); ++at)
    {
        add_owned_groups(matched_route, at, far_cover[at], region_name + '/', groups);
    }
    return groups;
}

/// Adds one group per region for the shards without a replica in the own region; any entry of that region may
/// run the group.
void shard_plan::add_far_groups(const list_plan& list, const std::vector<std::size_t>& far,
                                std::vector<planned_group>& into) const
{
    std::vector<location_set> regions(list.zones.size());
    for (const std::size_t shard : far)
    {
        regions[shard] = regions_of(list.zones[shard]);
    }
    const auto by_region = assign_locations(regions, m_regions.size(), no_index);
    for (std::size_t at = 0; at < by_region.size(); ++at)
    {
        if (by_region[at].size() >= min_group_size && !m_regions[at].entries.empty())
        {
            into.push_back({by_region[at], m_regions[at].entries, true});
        }
    }
}

void shard_plan::add_owned_groups(const route& matched_route, std::size_t zone,
                                  const std::vector<std::size_t>& shards, const std::string& salt,
                                  std::vector<planned_group>& into)
{
    const std::vector<entry_index>& in_zone = m_zones[zone].entries;
    const std::vector<entry_index>& entries =
        in_zone.empty() ? m_regions[m_zones[zone].region].entries : in_zone;
    if (entries.empty() || shards.empty())
    {
        return;
    }
    // Divided by position in the whole fan-out, so that adding or removing a shard leaves the other groups
    // unchanged.
    const std::size_t all = matched_route.fan_out.size();
    const std::size_t size = group_size(all);
    const std::size_t groups = damped_group_count((shards.size() + size - 1) / size);
    const std::size_t most = (groups + entries.size() - 1) / entries.size();
    std::unordered_map<entry_index, std::size_t> load;
    std::size_t next = 0;
    for (std::size_t at = 0; at < groups; ++at)
    {
        const std::size_t first = at * all / groups;
        const std::size_t end = (at + 1) * all / groups;
        planned_group item;
        while (next < shards.size() && shards[next] < end)
        {
            item.shards.push_back(shards[next++]);
        }
        item.runner_candidates =
            rank_entries(salt + m_zones[zone].name + '/' + matched_route.fan_out[first].str(), entries);
        // No entry is the first choice for more groups than its share.
        const auto owner = std::find_if(item.runner_candidates.begin(), item.runner_candidates.end(),
                                        [&](entry_index name)
                                        {
                                            return load[name] < most;
                                        });
        if (owner != item.runner_candidates.end())
        {
            ++load[*owner];
            std::rotate(item.runner_candidates.begin(), owner, owner + 1);
        }
        item.runner_candidates.resize(std::min(item.runner_candidates.size(), max_owners));
        if (!item.shards.empty())
        {
            into.push_back(std::move(item));
        }
    }
}

/// @return the entries in the order of rendezvous hashing for the key
std::vector<shard_plan::entry_index> shard_plan::rank_entries(const std::string& key,
                                                              const std::vector<entry_index>& entries)
{
    const auto known = m_rankings.find(key);
    if (known != m_rankings.end())
    {
        return known->second;
    }
    std::vector<std::pair<std::uint64_t, entry_index>> ranks;
    ranks.reserve(entries.size());
    for (const entry_index item : entries)
    {
        ranks.emplace_back(hash64(key + '/' + m_names[item].str()), item);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<entry_index> order;
    order.reserve(ranks.size());
    for (const auto& [rank, item] : ranks)
    {
        order.push_back(item);
    }
    if (m_rankings.size() >= max_rankings)
    {
        m_rankings.clear();
    }
    m_rankings.emplace(key, order);
    return order;
}

shard_plan::group shard_plan::to_group(const planned_group& item) const
{
    group result;
    result.shards = item.shards;
    result.is_round_robin = item.is_round_robin;
    for (const entry_index runner : item.runner_candidates)
    {
        result.runner_candidates.push_back(m_names[runner]);
    }
    return result;
}

} // namespace flaxtiller
