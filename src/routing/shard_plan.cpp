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

} // namespace

shard_plan::shard_plan(routing_view view) : m_view(std::move(view))
{
    for (const auto& by : m_view.routes->fan_outs())
    {
        if (is_owned(*by))
        {
            m_owned.insert(by->fan_out.begin(), by->fan_out.end());
        }
        for (const group& item : groups_of(*by))
        {
            const auto counting = std::min(counting_owners, item.runners.size());
            const auto end = item.runners.begin() + static_cast<std::ptrdiff_t>(counting);
            if (!item.in_turn && std::find(item.runners.begin(), end, m_view.self) != end)
            {
                for (const std::size_t shard : item.shards)
                {
                    m_owned_here.insert(by->fan_out[shard]);
                }
            }
        }
    }
}

std::string shard_plan::region_of(const std::string& zone) const
{
    const auto found = m_view.region_of_zone.find(zone);
    return found == m_view.region_of_zone.end() ? std::string() : found->second;
}

std::set<std::string> shard_plan::zones_with(const service_name& service) const
{
    std::set<std::string> zones;
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

std::size_t shard_plan::zones_of(const service_name& service) const
{
    return zones_with(service).size();
}

bool shard_plan::is_owned(const service_name& service) const
{
    return m_owned.count(service) > 0;
}

bool shard_plan::is_owned(const route& by) const
{
    for (const service_name& service : by.fan_out)
    {
        const auto placed = m_view.placed->services.find(service);
        if (placed == m_view.placed->services.end())
        {
            continue;
        }
        for (const backend_server& server : placed->second.shards.at(0))
        {
            if (server.connection_limit / std::max(m_view.entries, 1) < server.slots)
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
        const auto [place, taken] = *best;
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

std::vector<instance_name> shard_plan::entries_in(const std::string& zone, const std::string& region) const
{
    std::vector<instance_name> names;
    for (const entry_peer& peer : m_view.peers)
    {
        if (zone.empty() ? peer.region == region : peer.availability_zone == zone)
        {
            names.push_back(peer.name);
        }
    }
    if (!zone.empty() && m_view.zone == zone)
    {
        names.push_back(m_view.self);
    }
    return names;
}

void shard_plan::add_far_groups(const route& by, const std::vector<std::size_t>& far, std::size_t size,
                                std::vector<group>& into) const
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
        const std::vector<instance_name> runners = entries_in("", region);
        if (shards.size() < least_group || runners.empty())
        {
            continue;
        }
        for (std::size_t from = 0; from < shards.size(); from += size)
        {
            const std::size_t to = std::min(from + size, shards.size());
            const auto begin = shards.begin();
            into.push_back({{begin + static_cast<std::ptrdiff_t>(from), begin + static_cast<std::ptrdiff_t>(to)},
                            runners,
                            true});
        }
    }
}

void shard_plan::add_owned_groups(const route& by, const std::string& zone,
                                  const std::vector<std::size_t>& shards, std::size_t size,
                                  std::vector<group>& into) const
{
    std::vector<instance_name> entries = entries_in(zone, region_of(zone));
    if (entries.empty())
    {
        entries = entries_in("", region_of(zone));
    }
    const std::size_t groups = (shards.size() + size - 1) / size;
    const std::size_t most = entries.empty() ? 0 : (groups + entries.size() - 1) / entries.size();
    std::map<instance_name, std::size_t> load;
    for (std::size_t from = 0; from < shards.size(); from += size)
    {
        const std::size_t to = std::min(from + size, shards.size());
        group item;
        item.shards.assign(shards.begin() + static_cast<std::ptrdiff_t>(from),
                           shards.begin() + static_cast<std::ptrdiff_t>(to));
        item.runners = ranked(by.fan_out[item.shards.front()].str(), entries);
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
        into.push_back(std::move(item));
    }
}

std::vector<shard_plan::group> shard_plan::plan(const route& by) const
{
    const bool owned = is_owned(by);
    const std::size_t size = owned ? group_size(by.fan_out.size()) : by.fan_out.size();
    std::vector<std::set<std::string>> near_zones(by.fan_out.size());
    std::vector<std::size_t> far;
    for (std::size_t shard = 0; shard < by.fan_out.size(); ++shard)
    {
        for (const std::string& zone : zones_with(by.fan_out[shard]))
        {
            if (region_of(zone) == m_view.region)
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
    if (owned)
    {
        for (const auto& [zone, shards] : cover(near_zones, m_view.zone))
        {
            add_owned_groups(by, zone, shards, size, groups);
        }
    }
    add_far_groups(by, far, size, groups);
    return groups;
}

const std::vector<shard_plan::group>& shard_plan::groups_of(const route& by)
{
    auto known = m_plans.find(by.fan_out);
    if (known == m_plans.end())
    {
        known = m_plans.emplace(by.fan_out, plan(by)).first;
    }
    return known->second;
}

bool shard_plan::owns(const service_name& service) const
{
    return m_owned_here.count(service) > 0;
}

std::set<instance_name> shard_plan::first_owners()
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
