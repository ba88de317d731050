#include <flaxtiller/routing/shard_plan.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace flaxtiller
{

using detail::single_location;

shard_plan::shard_plan(const routing_view& view)
{
    update(view);
}

// ---------------------------------------------------------------------------------------------------------
// changes of the view
// ---------------------------------------------------------------------------------------------------------

void shard_plan::update(const routing_view& view)
{
    const bool entries_changed = update_entries(view);
    update_services(view);
    std::map<list_key, list_plan> before = std::exchange(m_lists, {});
    bool changed = false;
    for (const auto& matched_route : view.routes->fan_outs())
    {
        const list_key key = key_of(*matched_route);
        if (m_lists.count(key) > 0)
        {
            // Another route has the same list, which is up to date.
            continue;
        }
        auto kept = before.extract(key);
        if (!kept.empty())
        {
            m_lists.insert(std::move(kept));
        }
        changed = update_list(*matched_route, entries_changed) || changed;
    }
    if (changed || !before.empty())
    {
        count_owners();
    }
}

/// @return whether the availability zones or their regions changed
bool shard_plan::update_zones(const routing_view& view)
{
    if (view.region_of_zone.is_shared_with(m_region_of_zone))
    {
        return false;
    }
    m_region_of_zone = view.region_of_zone;
    m_zones.clear();
    m_regions.clear();
    m_services.clear();
    std::set<std::string> names;
    for (const auto& [zone, name] : *m_region_of_zone)
    {
        names.insert(name);
    }
    for (const std::string& name : names)
    {
        m_regions.push_back({name, {}});
    }
    for (const auto& [zone, name] : *m_region_of_zone)
    {
        m_zones.push_back({zone, region_index(name), {}});
    }
    return true;
}

/// @return whether entries were added or removed, or the number of those that share the backend servers
/// changed
bool shard_plan::update_entries(const routing_view& view)
{
    const bool places_changed = update_zones(view);
    const bool same = !places_changed && view.peers.is_shared_with(m_peers) && view.self == m_self &&
                      view.zone == m_zone_name && view.region == m_region_name &&
                      view.entries == m_entry_count;
    if (same)
    {
        return false;
    }
    m_peers = view.peers;
    m_self = view.self;
    m_zone_name = view.zone;
    m_region_name = view.region;
    m_entry_count = view.entries;
    m_rankings.clear();
    index_entries();
    return true;
}

/// Lists all entries, this instance included, by availability zone and by region.
void shard_plan::index_entries()
{
    m_names.clear();
    for (availability_zone& item : m_zones)
    {
        item.entries.clear();
    }
    for (region& item : m_regions)
    {
        item.entries.clear();
    }
    std::vector<entry_peer> all = *m_peers;
    all.push_back({m_self, m_region_name, m_zone_name, ""});
    std::sort(all.begin(), all.end());
    for (const entry_peer& item : all)
    {
        const auto index = static_cast<entry_index>(m_names.size());
        m_own_index = item.name == m_self ? index : m_own_index;
        m_names.push_back(item.name);
        const std::size_t zone = zone_index(item.availability_zone);
        if (zone != no_index)
        {
            m_zones[zone].entries.push_back(index);
        }
        const std::size_t at = region_index(item.region);
        if (at != no_index)
        {
            m_regions[at].entries.push_back(index);
        }
    }
}

std::size_t shard_plan::region_index(const std::string& name) const
{
    const auto at = std::find_if(m_regions.begin(), m_regions.end(),
                                 [&](const region& item)
                                 {
                                     return item.name == name;
                                 });
    return at == m_regions.end() ? no_index : static_cast<std::size_t>(at - m_regions.begin());
}

std::size_t shard_plan::zone_index(const std::string& name) const
{
    const auto at = std::lower_bound(m_zones.begin(), m_zones.end(), name,
                                     [](const availability_zone& item, const std::string& wanted)
                                     {
                                         return item.name < wanted;
                                     });
    const bool found = at != m_zones.end() && at->name == name;
    return found ? static_cast<std::size_t>(at - m_zones.begin()) : no_index;
}

void shard_plan::update_services(const routing_view& view)
{
    for (const auto& [name, placed] : view.placed->services)
    {
        const auto [known, fresh] = m_services.try_emplace(name);
        if (fresh || !known->second.seen.is_shared_with(placed))
        {
            update_service(placed, known->second);
        }
    }
    if (m_services.size() > view.placed->services.size())
    {
        std::erase_if(m_services,
                      [&](const auto& item)
                      {
                          return view.placed->services.count(item.first) == 0;
                      });
    }
}

void shard_plan::update_service(const shared_value<placed_service>& placed, service_locations& into) const
{
    into = {};
    into.seen = placed;
    for (const backend_server& server : placed->shards.at(0))
    {
        into.most_direct_entries =
            std::min(into.most_direct_entries, server.connection_limit / std::max(server.slots, 1));
        if (!server.leaving)
        {
            into.zones |= single_location(zone_index(server.availability_zone));
        }
    }
}

/// @return whether the list was planned again
bool shard_plan::update_list(const route& matched_route, bool entries_changed)
{
    list_plan next = make_list(matched_route);
    const auto known = m_lists.find(key_of(matched_route));
    const bool same = known != m_lists.end() && !entries_changed && known->second.zones == next.zones &&
                      known->second.owned == next.owned;
    if (same)
    {
        return false;
    }
    plan(matched_route, next);
    m_lists.insert_or_assign(key_of(matched_route), std::move(next));
    return true;
}

shard_plan::list_plan shard_plan::make_list(const route& matched_route) const
{
    list_plan list;
    list.owned = is_owned(matched_route.fan_out);
    list.zones.reserve(matched_route.fan_out.size());
    const location_set allowed = zones_in(matched_route.allowed_regions);
    for (const service_name& service : matched_route.fan_out)
    {
        const auto known = m_services.find(service);
        list.zones.push_back(known == m_services.end() ? 0 : known->second.zones & allowed);
    }
    return list;
}

shard_plan::location_set shard_plan::zones_in(const region_set& regions) const
{
    location_set zones = 0;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        zones |= regions.allows(m_regions[m_zones[zone].region].name) ? single_location(zone) : 0;
    }
    return zones;
}

bool shard_plan::is_owned(const std::vector<service_name>& shards) const
{
    return m_entry_count > 0 && std::any_of(shards.begin(), shards.end(),
                                            [&](const service_name& service)
                                            {
                                                const auto known = m_services.find(service);
                                                return known != m_services.end() &&
                                                       m_entry_count > known->second.most_direct_entries;
                                            });
}

/// Computes the first owners for all availability zones, so that all instances agree on the number of owners
/// that share a retry budget.
void shard_plan::count_owners()
{
    std::unordered_map<service_name, std::vector<entry_index>> owners;
    for (const auto& [key, list] : m_lists)
    {
        for (std::size_t shard = 0; list.owned && shard < key.shards.size(); ++shard)
        {
            std::vector<entry_index>& all = owners[key.shards[shard]];
            all.insert(all.end(), list.owners[shard].begin(), list.owners[shard].end());
        }
    }
    m_owners.clear();
    for (auto& [service, all] : owners)
    {
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        const bool includes_self = std::binary_search(all.begin(), all.end(), m_own_index);
        m_owners.emplace(service, ownership{std::move(all), includes_self});
    }
}

// ---------------------------------------------------------------------------------------------------------
// the plan
// ---------------------------------------------------------------------------------------------------------

const std::vector<shard_plan::group>& shard_plan::groups_of(const route& matched_route)
{
    const auto known = m_lists.find(key_of(matched_route));
    if (known != m_lists.end())
    {
        return known->second.groups;
    }
    // The route is no longer in the view, but an open request began with it.
    list_plan list = make_list(matched_route);
    plan(matched_route, list);
    return m_lists.emplace(key_of(matched_route), std::move(list)).first->second.groups;
}

std::size_t shard_plan::owners_of(const service_name& service) const
{
    const auto found = m_owners.find(service);
    return found == m_owners.end() ? 0 : found->second.owners.size();
}

bool shard_plan::is_owned(const service_name& service) const
{
    return m_owners.count(service) > 0;
}

bool shard_plan::owns(const service_name& service) const
{
    const auto found = m_owners.find(service);
    return found != m_owners.end() && found->second.includes_self;
}

shard_plan::sender shard_plan::rank_among_senders(const std::vector<entry_index>& senders,
                                                  const std::string& key) const
{
    const auto rank_key_of = [&](entry_index item)
    {
        return std::pair(hash64(key + '/' + m_names[item].str()), item);
    };
    const auto own = rank_key_of(m_own_index);
    bool among = false;
    std::size_t before = 0;
    for (const entry_index item : senders)
    {
        among = among || item == m_own_index;
        before += rank_key_of(item) < own ? 1 : 0;
    }
    return {senders.size(), among ? before : senders.size()};
}

shard_plan::sender shard_plan::rank_of(const service_name& service, const std::string& key) const
{
    if (m_entry_count == 0)
    {
        // A large number is assumed, so that only few instances consider themselves among the first.
        constexpr std::size_t unknown_senders = 1000;
        return {unknown_senders, hash64(key + '/' + m_self.str()) % unknown_senders};
    }
    const auto owned = m_owners.find(service);
    if (owned != m_owners.end())
    {
        return rank_among_senders(owned->second.owners, key);
    }
    std::vector<entry_index> all(m_names.size());
    std::iota(all.begin(), all.end(), 0U);
    sender own = rank_among_senders(all, key);
    own.senders = std::max(own.senders, static_cast<std::size_t>(m_entry_count));
    return own;
}

std::set<instance_name> shard_plan::linked_owners() const
{
    std::set<instance_name> names;
    for (const auto& [key, list] : m_lists)
    {
        for (const group& item : list.groups)
        {
            for (std::size_t i = 0;
                 !item.is_round_robin && i < std::min(budgeted_owners, item.runner_candidates.size()); ++i)
            {
                names.insert(item.runner_candidates[i]);
            }
        }
    }
    names.erase(m_self);
    return names;
}

} // namespace flaxtiller
