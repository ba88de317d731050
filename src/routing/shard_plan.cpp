#include <flaxtiller/routing/shard_plan.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace flaxtiller
{

namespace
{

/// The owners of a group that also count what it may repeat: the first choice, and who stands in for it.
constexpr std::size_t counting_owners = 2;

std::vector<instance_name> ranked(const std::string& key, const std::vector<instance_name>& entries)
{
    std::vector<std::pair<std::uint64_t, instance_name>> ranks;
    ranks.reserve(entries.size());
    for (const instance_name& name : entries)
    {
        ranks.emplace_back(hash64(key + '/' + name.str()), name);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<instance_name> names;
    names.reserve(ranks.size());
    for (auto& [rank, name] : ranks)
    {
        names.push_back(std::move(name));
    }
    return names;
}

/// Shards go into as many groups as there are shards in each: the sum of what the asker and an owner send is
/// least then.
std::size_t group_size(std::size_t shards)
{
    return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(shards))));
}

/// @return a number of groups that a shard more or less seldom changes
std::size_t steady_count(std::size_t groups)
{
    constexpr std::size_t exact_up_to = 4;
    return groups <= exact_up_to ? groups : groups + groups % 2;
}

} // namespace

shard_plan::shard_plan(routing_view view) : m_view(std::move(view))
{
    for (const auto& by : m_view.routes->fan_outs())
    {
        if (m_plans.count(by->fan_out) == 0 && is_owned(*by))
        {
            find_owners(*by);
        }
        groups_of(*by);
    }
}

/// Every instance works out whom all availability zones ask, and so agrees on how many share what operators
/// allow.
void shard_plan::find_owners(const route& by)
{
    for (const service_name& service : by.fan_out)
    {
        m_owners[service];
    }
    for (const auto& [zone, region] : m_view.region_of_zone)
    {
        const std::vector<group> groups = plan(by, {zone, region});
        for (const group& item : groups)
        {
            const auto counting = static_cast<std::ptrdiff_t>(std::min(counting_owners, item.runners.size()));
            for (const std::size_t shard : item.shards)
            {
                m_owners[by.fan_out[shard]].insert(item.runners.begin(), item.runners.begin() + counting);
            }
        }
        if (zone == m_view.zone && region == m_view.region)
        {
            m_plans.emplace(by.fan_out, groups);
        }
    }
}

std::string shard_plan::region_of(const std::string& zone) const
{
    const auto found = m_view.region_of_zone.find(zone);
    return found == m_view.region_of_zone.end() ? std::string() : found->second;
}

const std::set<std::string>& shard_plan::zones_with(const service_name& service)
{
    const auto known = m_zones.find(service);
    if (known != m_zones.end())
    {
        return known->second;
    }
    std::set<std::string>& zones = m_zones[service];
    const auto placed = m_view.placed->services.find(service);
    if (placed == m_view.placed->services.end())
    {
        return zones;
    }
    for (const backend_server& server : placed->second.shards.at(0))
    {
        if (!server.leaving && m_view.region_of_zone.count(server.availability_zone) > 0)
        {
            zones.insert(server.availability_zone);
        }
    }
    return zones;
}

std::size_t shard_plan::owners_of(const service_name& service) const
{
    const auto found = m_owners.find(service);
    return found == m_owners.end() ? 0 : found->second.size();
}

bool shard_plan::is_owned(const service_name& service) const
{
    return m_owners.count(service) > 0;
}

bool shard_plan::is_owned(const route& by) const
{
    if (m_view.entries == 0)
    {
        return false;
    }
    for (const service_name& service : by.fan_out)
    {
        const auto placed = m_view.placed->services.find(service);
        if (placed == m_view.placed->services.end())
        {
            continue;
        }
        for (const backend_server& server : placed->second.shards.at(0))
        {
            if (server.connection_limit / m_view.entries < server.slots)
            {
                return true;
            }
        }
    }
    return false;
}

/// Gives each shard one of its places, so that few places have all: @a first takes what it can, then the one
/// that holds most of the rest.
shard_plan::shards_by_place shard_plan::cover(const std::vector<std::set<std::string>>& places,
                                              const std::string& first) const
{
    shards_by_place candidates;
    for (std::size_t shard = 0; shard < places.size(); ++shard)
    {
        for (const std::string& place : places[shard])
        {
            candidates[place].push_back(shard);
        }
    }
    shards_by_place chosen;
    while (!candidates.empty())
    {
        auto best = candidates.find(first);
        if (best == candidates.end())
        {
            best = std::max_element(candidates.begin(), candidates.end(),
                                    [](const auto& a, const auto& b)
                                    {
                                        return a.second.size() < b.second.size();
                                    });
        }
        const std::string place = best->first;
        const std::vector<std::size_t> taken = best->second;
        candidates.erase(best);
        if (taken.empty())
        {
            continue;
        }
        for (auto& [other, shards] : candidates)
        {
            std::erase_if(shards,
                          [&](std::size_t shard)
                          {
                              return std::binary_search(taken.begin(), taken.end(), shard);
                          });
        }
        chosen.emplace(place, taken);
    }
    return chosen;
}

std::vector<instance_name> shard_plan::entries_in_zone(const std::string& zone) const
{
    std::vector<instance_name> names;
    for (const entry_peer& peer : m_view.peers)
    {
        if (peer.availability_zone == zone)
        {
            names.push_back(peer.name);
        }
    }
    if (m_view.zone == zone)
    {
        names.push_back(m_view.self);
    }
    return names;
}

std::vector<instance_name> shard_plan::entries_in_region(const std::string& region) const
{
    std::vector<instance_name> names;
    for (const entry_peer& peer : m_view.peers)
    {
        if (peer.region == region)
        {
            names.push_back(peer.name);
        }
    }
    if (m_view.region == region)
    {
        names.push_back(m_view.self);
    }
    return names;
}

/// Far shards that any entry of their region may run: one group a region.
void shard_plan::add_far_groups(const route& by, const std::vector<std::size_t>& far,
                                std::vector<group>& into)
{
    std::vector<std::set<std::string>> regions(by.fan_out.size());
    for (const std::size_t shard : far)
    {
        for (const std::string& zone : zones_with(by.fan_out[shard]))
        {
            regions[shard].insert(region_of(zone));
        }
    }
    for (const auto& [region, shards] : cover(regions, ""))
    {
        const std::vector<instance_name> runners = entries_in_region(region);
        if (shards.size() >= least_group && !runners.empty())
        {
            into.push_back({shards, runners, true});
        }
    }
}

/// Far shards that have owners: few entries beside the replicas run them for all of the asking region, so
/// that these keep connections and know the latencies.
void shard_plan::add_far_owned_groups(const route& by, const viewpoint& from,
                                      const std::vector<std::size_t>& far, std::size_t size,
                                      std::vector<group>& into)
{
    std::vector<std::set<std::string>> zones(by.fan_out.size());
    for (const std::size_t shard : far)
    {
        zones[shard] = zones_with(by.fan_out[shard]);
    }
    for (const auto& [zone, shards] : cover(zones, ""))
    {
        add_owned_groups(by, zone, shards, size, from.region + '/', into);
    }
}

void shard_plan::add_owned_groups(const route& by, const std::string& zone,
                                  const std::vector<std::size_t>& shards, std::size_t size,
                                  const std::string& salt, std::vector<group>& into) const
{
    std::vector<instance_name> entries = entries_in_zone(zone);
    if (entries.empty())
    {
        entries = entries_in_region(region_of(zone));
    }
    if (entries.empty())
    {
        return;
    }
    // By position in the whole fan-out, so that a shard that comes or goes leaves the other groups as they
    // are.
    const std::size_t all = by.fan_out.size();
    const std::size_t groups = steady_count((shards.size() + size - 1) / size);
    const std::size_t most = (groups + entries.size() - 1) / entries.size();
    std::map<instance_name, std::size_t> load;
    std::size_t next = 0;
    for (std::size_t at = 0; at < groups; ++at)
    {
        const std::size_t first = at * all / groups;
        const std::size_t end = (at + 1) * all / groups;
        group item;
        while (next < shards.size() && shards[next] < end)
        {
            item.shards.push_back(shards[next++]);
        }
        item.runners = ranked(salt + zone + '/' + by.fan_out[first].str(), entries);
        // None owns more groups than its share.
        const auto owner = std::find_if(item.runners.begin(), item.runners.end(),
                                        [&](const instance_name& name)
                                        {
                                            return load[name] < most;
                                        });
        if (owner != item.runners.end())
        {
            ++load[*owner];
            std::rotate(item.runners.begin(), owner, owner + 1);
        }
        item.runners.resize(std::min(item.runners.size(), most_owners));
        if (!item.shards.empty())
        {
            into.push_back(std::move(item));
        }
    }
}

std::vector<shard_plan::group> shard_plan::plan(const route& by, const viewpoint& from)
{
    std::vector<std::set<std::string>> near_zones(by.fan_out.size());
    std::vector<std::size_t> far;
    for (std::size_t shard = 0; shard < by.fan_out.size(); ++shard)
    {
        for (const std::string& zone : zones_with(by.fan_out[shard]))
        {
            if (region_of(zone) == from.region)
            {
                near_zones[shard].insert(zone);
            }
        }
        if (near_zones[shard].empty())
        {
            far.push_back(shard);
        }
    }
    std::vector<group> groups;
    if (!is_owned(by))
    {
        add_far_groups(by, far, groups);
        return groups;
    }
    const std::size_t size = group_size(by.fan_out.size());
    for (const auto& [zone, shards] : cover(near_zones, from.zone))
    {
        add_owned_groups(by, zone, shards, size, "", groups);
    }
    add_far_owned_groups(by, from, far, size, groups);
    return groups;
}

const std::vector<shard_plan::group>& shard_plan::groups_of(const route& by)
{
    auto known = m_plans.find(by.fan_out);
    if (known == m_plans.end())
    {
        known = m_plans.emplace(by.fan_out, plan(by, {m_view.zone, m_view.region})).first;
    }
    return known->second;
}

bool shard_plan::owns(const service_name& service) const
{
    const auto found = m_owners.find(service);
    return found != m_owners.end() && found->second.count(m_view.self) > 0;
}

std::set<instance_name> shard_plan::first_owners() const
{
    std::set<instance_name> names;
    for (const auto& [shards, groups] : m_plans)
    {
        for (const group& item : groups)
        {
            for (std::size_t i = 0; !item.in_turn && i < std::min(counting_owners, item.runners.size()); ++i)
            {
                names.insert(item.runners[i]);
            }
        }
    }
    names.erase(m_view.self);
    return names;
}

} // namespace flaxtiller
