#include <flaxtiller/routing/region_choice.hpp>

#include <algorithm>
#include <set>

namespace flaxtiller
{

namespace
{

/// Below this share of shards with a replica near by, a fan-out is better run elsewhere.
constexpr double near_share = 0.5;

} // namespace

void region_choice::configure(const routing_view& view)
{
    m_view = view;
    m_regions_by_route.clear();
}

/// @return the other regions that have a replica of every shard, if the own one has too few
std::vector<std::string> region_choice::regions_of(const route& by) const
{
    std::map<std::string, int> covered;
    for (const service_name& service : by.fan_out)
    {
        const auto placed = m_view.placed->services.find(service);
        std::set<std::string> regions;
        if (placed != m_view.placed->services.end())
        {
            for (const backend_server& server : placed->second.shards.at(0))
            {
                const auto region = m_view.region_of_zone.find(server.availability_zone);
                if (!server.leaving && region != m_view.region_of_zone.end())
                {
                    regions.insert(region->second);
                }
            }
        }
        for (const std::string& region : regions)
        {
            ++covered[region];
        }
    }
    std::vector<std::string> others;
    const auto shards = static_cast<int>(by.fan_out.size());
    const auto own = covered.find(m_view.region);
    const bool near = own != covered.end() && own->second >= near_share * shards;
    for (const auto& [region, count] : covered)
    {
        if (!near && region != m_view.region && count == shards)
        {
            others.push_back(region);
        }
    }
    return others;
}

std::optional<instance_name> region_choice::next(const route& by, time_point now)
{
    if (m_view.peers.empty())
    {
        return std::nullopt;
    }
    auto known = m_regions_by_route.find(by.name);
    if (known == m_regions_by_route.end())
    {
        known = m_regions_by_route.emplace(by.name, regions_of(by)).first;
    }
    const std::vector<std::string>& regions = known->second;
    if (regions.empty())
    {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < m_view.peers.size(); ++i)
    {
        const entry_peer& peer = m_view.peers[m_turn++ % m_view.peers.size()];
        const bool holds = std::find(regions.begin(), regions.end(), peer.region) != regions.end();
        const auto passed_over = m_passed_over_until.find(peer.name);
        if (holds && (passed_over == m_passed_over_until.end() || passed_over->second <= now))
        {
            return peer.name;
        }
    }
    return std::nullopt;
}

void region_choice::failed(const instance_name& peer, time_point now)
{
    m_passed_over_until[peer] = now + pass_over;
}

} // namespace flaxtiller
