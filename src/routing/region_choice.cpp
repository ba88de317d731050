#include <flaxtiller/routing/region_choice.hpp>

#include <algorithm>

namespace flaxtiller
{

void region_choice::configure(const routing_view& view)
{
    m_view = view;
    m_split.clear();
}

std::set<std::string> region_choice::regions_with(const service_name& service) const
{
    std::set<std::string> regions;
    const auto placed = m_view.placed->services.find(service);
    if (placed == m_view.placed->services.end())
    {
        return regions;
    }
    for (const backend_server& server : placed->second.shards.at(0))
    {
        const auto region = m_view.region_of_zone.find(server.availability_zone);
        if (!server.leaving && region != m_view.region_of_zone.end())
        {
            regions.insert(region->second);
        }
    }
    return regions;
}

region_choice::by_region region_choice::split(const route& by) const
{
    by_region candidates;
    for (std::size_t shard = 0; shard < by.fan_out.size(); ++shard)
    {
        const auto regions = regions_with(by.fan_out[shard]);
        if (regions.count(m_view.region) > 0)
        {
            continue;
        }
        for (const std::string& region : regions)
        {
            candidates[region].push_back(shard);
        }
    }
    by_region chosen;
    while (!candidates.empty())
    {
        const auto most = std::max_element(candidates.begin(), candidates.end(),
                                           [](const auto& a, const auto& b)
                                           {
                                               return a.second.size() < b.second.size();
                                           });
        const std::vector<std::size_t> taken = most->second;
        if (taken.size() < least_group)
        {
            break;
        }
        chosen.emplace(most->first, taken);
        candidates.erase(most);
        for (auto& [region, shards] : candidates)
        {
            std::erase_if(shards,
                          [&](std::size_t shard)
                          {
                              return std::binary_search(taken.begin(), taken.end(), shard);
                          });
        }
    }
    return chosen;
}

std::optional<instance_name> region_choice::next_entry(const std::string& region, time_point now)
{
    for (std::size_t i = 0; i < m_view.peers.size(); ++i)
    {
        const entry_peer& peer = m_view.peers[m_turn++ % m_view.peers.size()];
        const auto passed_over = m_passed_over_until.find(peer.name);
        if (peer.region == region && (passed_over == m_passed_over_until.end() || passed_over->second <= now))
        {
            return peer.name;
        }
    }
    return std::nullopt;
}

std::vector<region_choice::group> region_choice::groups_of(const route& by, time_point now)
{
    std::vector<group> groups;
    if (m_view.peers.empty())
    {
        return groups;
    }
    auto known = m_split.find(by.name);
    if (known == m_split.end())
    {
        known = m_split.emplace(by.name, split(by)).first;
    }
    for (const auto& [region, shards] : known->second)
    {
        if (const auto peer = next_entry(region, now))
        {
            groups.push_back({*peer, shards});
        }
    }
    return groups;
}

void region_choice::failed(const instance_name& peer, time_point now)
{
    m_passed_over_until[peer] = now + pass_over;
}

} // namespace flaxtiller
