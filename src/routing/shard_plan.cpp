#include <flaxtiller/routing/shard_plan.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace flaxtiller
{

using detail::only;

shard_plan::shard_plan(const routing_view& view)
{
    update(view);
}

// ---------------------------------------------------------------------------------------------------------
// what changed
// ---------------------------------------------------------------------------------------------------------

void shard_plan::update(const routing_view& view)
{
    const bool entries_changed = note_entries(view);
    note_services(view);
    std::map<list_key, list_plan> before = std::exchange(m_lists, {});
    bool changed = false;
    for (const auto& by : view.routes->fan_outs())
    {
        const list_key key = key_of(*by);
        if (m_lists.count(key) > 0)
        {
            // Another route shares the list.
            continue;
        }
        auto kept = before.extract(key);
        if (!kept.empty())
        {
            m_lists.insert(std::move(kept));
        }
        changed = update_list(*by, entries_changed) || changed;
    }
    if (changed || !before.empty())
    {
        count_owners();
    }
}

/// @return whether the availability zones or their regions changed
bool shard_plan::note_places(const routing_view& view)
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

/// @return whether entries came or went, or the number of those that share the backend servers changed
bool shard_plan::note_entries(const routing_view& view)
{
    const bool places_changed = note_places(view);
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
    list_entries();
    return true;
}

/// Sorts all entries, this one too, by where they are.
void shard_plan::list_entries()
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
        if (zone != nowhere)
        {
            m_zones[zone].entries.push_back(index);
        }
        const std::size_t at = region_index(item.region);
        if (at != nowhere)
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
    return at == m_regions.end() ? nowhere : static_cast<std::size_t>(at - m_regions.begin());
}

std::size_t shard_plan::zone_index(const std::string& name) const
{
    const auto at = std::lower_bound(m_zones.begin(), m_zones.end(), name,
                                     [](const availability_zone& item, const std::string& wanted)
                                     {
                                         return item.name < wanted;
                                     });
    const bool found = at != m_zones.end() && at->name == name;
    return found ? static_cast<std::size_t>(at - m_zones.begin()) : nowhere;
}

void shard_plan::note_services(const routing_view& view)
{
    for (const auto& [name, placed] : view.placed->services)
    {
        const auto [known, fresh] = m_services.try_emplace(name);
        if (fresh || !known->second.seen.is_shared_with(placed))
        {
            note_service(placed, known->second);
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

void shard_plan::note_service(const shared_value<placed_service>& placed, service_places& into) const
{
    into = {};
    into.seen = placed;
    for (const backend_server& server : placed->shards.at(0))
    {
        into.most_direct_entries =
            std::min(into.most_direct_entries, server.connection_limit / std::max(server.slots, 1));
        if (!server.leaving)
        {
            into.zones |= only(zone_index(server.availability_zone));
        }
    }
}

/// @return whether the list was planned anew
bool shard_plan::update_list(const route& by, bool entries_changed)
{
    list_plan next = make_list(by);
    const auto known = m_lists.find(key_of(by));
    const bool same = known != m_lists.end() && !entries_changed && known->second.zones == next.zones &&
                      known->second.owned == next.owned;
    if (same)
    {
        return false;
    }
    plan(by, next);
    m_lists.insert_or_assign(key_of(by), std::move(next));
    return true;
}

shard_plan::list_plan shard_plan::make_list(const route& by) const
{
    list_plan list;
    list.owned = is_owned(by.fan_out);
    list.zones.reserve(by.fan_out.size());
    const place_set allowed = zones_in(by.allowed_regions);
    for (const service_name& service : by.fan_out)
    {
        const auto known = m_services.find(service);
        list.zones.push_back(known == m_services.end() ? 0 : known->second.zones & allowed);
    }
    return list;
}

shard_plan::place_set shard_plan::zones_in(const region_set& regions) const
{
    place_set zones = 0;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        zones |= regions.allows(m_regions[m_zones[zone].region].name) ? only(zone) : 0;
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

/// Every instance works out whom all availability zones ask, and so agrees on how many share what operators
/// allow.
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
        const bool mine = std::binary_search(all.begin(), all.end(), m_own_index);
        m_owners.emplace(service, ownership{std::move(all), mine});
    }
}

// ---------------------------------------------------------------------------------------------------------
// the plan
// ---------------------------------------------------------------------------------------------------------

const std::vector<shard_plan::group>& shard_plan::groups_of(const route& by)
{
    const auto known = m_lists.find(key_of(by));
    if (known != m_lists.end())
    {
        return known->second.groups;
    }
    // A route that isn't in force any more, for a request that began with it.
    list_plan list = make_list(by);
    plan(by, list);
    return m_lists.emplace(key_of(by), std::move(list)).first->second.groups;
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
    return found != m_owners.end() && found->second.mine;
}

shard_plan::sender shard_plan::rank_among(const std::vector<entry_index>& senders,
                                          const std::string& key) const
{
    const auto place_of = [&](entry_index item)
    {
        return std::pair(hash64(key + '/' + m_names[item].str()), item);
    };
    const auto own = place_of(m_own_index);
    bool among = false;
    std::size_t before = 0;
    for (const entry_index item : senders)
    {
        among = among || item == m_own_index;
        before += place_of(item) < own ? 1 : 0;
    }
    return {senders.size(), among ? before : senders.size()};
}

shard_plan::sender shard_plan::rank_of(const service_name& service, const std::string& key) const
{
    if (m_entry_count == 0)
    {
        // As if there were many: few of however many there are take themselves for one of the first.
        constexpr std::size_t unknown_senders = 1000;
        return {unknown_senders, hash64(key + '/' + m_self.str()) % unknown_senders};
    }
    const auto owned = m_owners.find(service);
    if (owned != m_owners.end())
    {
        return rank_among(owned->second.owners, key);
    }
    std::vector<entry_index> all(m_names.size());
    std::iota(all.begin(), all.end(), 0U);
    sender own = rank_among(all, key);
    own.senders = std::max(own.senders, static_cast<std::size_t>(m_entry_count));
    return own;
}

std::set<instance_name> shard_plan::first_owners() const
{
    std::set<instance_name> names;
    for (const auto& [key, list] : m_lists)
    {
        for (const group& item : list.groups)
        {
            for (std::size_t i = 0; !item.in_turn && i < std::min(counting_owners, item.runners.size()); ++i)
            {
                names.insert(item.runners[i]);
            }
        }
    }
    names.erase(m_self);
    return names;
}

} // namespace flaxtiller
