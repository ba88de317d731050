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
/// Rankings kept: some thousand bytes each at 50 entries a zone.
constexpr std::size_t most_rankings = 2048;

using place_set = std::uint64_t;

bool holds(place_set places, std::size_t place)
{
    return place < shard_plan::most_places && ((places >> place) & 1U) != 0;
}

place_set only(std::size_t place)
{
    return place < shard_plan::most_places ? place_set{1} << place : 0;
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

/// The place that holds most shards; the first one of these.
std::size_t fullest(const std::vector<place_set>& places, std::size_t count)
{
    std::vector<std::size_t> shards(count, 0);
    for (const place_set set : places)
    {
        for (std::size_t place = 0; set != 0 && place < count; ++place)
        {
            shards[place] += holds(set, place) ? 1 : 0;
        }
    }
    return static_cast<std::size_t>(std::max_element(shards.begin(), shards.end()) - shards.begin());
}

std::vector<std::size_t> take_shards(std::vector<place_set>& places, std::size_t place)
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

/// Gives each shard one of its places, so that few places have all: @a first takes what it can, then the one
/// that holds most of the rest.
/// @return shards by place
std::vector<std::vector<std::size_t>> cover(std::vector<place_set> places, std::size_t count,
                                            std::size_t first)
{
    std::vector<std::vector<std::size_t>> chosen(count);
    if (first < count)
    {
        chosen[first] = take_shards(places, first);
    }
    for (std::size_t turn = 0; turn < count; ++turn)
    {
        const std::size_t place = fullest(places, count);
        std::vector<std::size_t> taken = take_shards(places, place);
        if (taken.empty())
        {
            break;
        }
        chosen[place] = std::move(taken);
    }
    return chosen;
}

} // namespace

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
    std::map<std::vector<service_name>, list_plan> before = std::exchange(m_lists, {});
    bool changed = false;
    for (const auto& by : view.routes->fan_outs())
    {
        auto kept = before.extract(by->fan_out);
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
    if (view.region_of_zone.is_same(m_region_of_zone))
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
    const bool same = !places_changed && view.peers.is_same(m_peers) && view.self == m_self &&
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
        if (fresh || !known->second.seen.is_same(placed))
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
    const auto known = m_lists.find(by.fan_out);
    const bool same = known != m_lists.end() && !entries_changed && known->second.zones == next.zones &&
                      known->second.owned == next.owned;
    if (same)
    {
        return false;
    }
    plan(by, next);
    m_lists.insert_or_assign(by.fan_out, std::move(next));
    return true;
}

shard_plan::list_plan shard_plan::make_list(const route& by) const
{
    list_plan list;
    list.owned = is_owned(by.fan_out);
    list.zones.reserve(by.fan_out.size());
    for (const service_name& service : by.fan_out)
    {
        const auto known = m_services.find(service);
        list.zones.push_back(known == m_services.end() ? 0 : known->second.zones);
    }
    return list;
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
    for (const auto& [shards, list] : m_lists)
    {
        for (std::size_t shard = 0; list.owned && shard < shards.size(); ++shard)
        {
            std::vector<entry_index>& all = owners[shards[shard]];
            all.insert(all.end(), list.owners[shard].begin(), list.owners[shard].end());
        }
    }
    m_owners.clear();
    for (auto& [service, all] : owners)
    {
        std::sort(all.begin(), all.end());
        all.erase(std::unique(all.begin(), all.end()), all.end());
        const bool mine = std::binary_search(all.begin(), all.end(), m_own_index);
        m_owners.emplace(service, ownership{all.size(), mine});
    }
}

// ---------------------------------------------------------------------------------------------------------
// planning
// ---------------------------------------------------------------------------------------------------------

void shard_plan::plan(const route& by, list_plan& into)
{
    ++m_lists_planned;
    into.owners.assign(by.fan_out.size(), {});
    const std::size_t own_zone = zone_index(m_zone_name);
    std::vector<planned_group> own;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        if (!into.owned && zone != own_zone)
        {
            continue;
        }
        const std::vector<planned_group> groups = plan_from(by, into, zone, m_zones[zone].region);
        for (const planned_group& item : groups)
        {
            const auto counting = static_cast<std::ptrdiff_t>(std::min(counting_owners, item.runners.size()));
            for (const std::size_t shard : item.shards)
            {
                std::vector<entry_index>& owners = into.owners[shard];
                owners.insert(owners.end(), item.runners.begin(), item.runners.begin() + counting);
            }
        }
        own = zone == own_zone ? groups : std::move(own);
    }
    if (own_zone == nowhere)
    {
        own = plan_from(by, into, nowhere, region_index(m_region_name));
    }
    for (const planned_group& item : own)
    {
        into.groups.push_back(named(item));
    }
}

shard_plan::place_set shard_plan::regions_of(place_set zones) const
{
    place_set regions = 0;
    for (std::size_t zone = 0; zone < m_zones.size(); ++zone)
    {
        regions |= holds(zones, zone) ? only(m_zones[zone].region) : 0;
    }
    return regions;
}

/// @param zone where the asker is; @ref nowhere for one in no listed zone
std::vector<shard_plan::planned_group> shard_plan::plan_from(const route& by, const list_plan& list,
                                                             std::size_t zone, std::size_t own_region)
{
    place_set near = 0;
    for (std::size_t other = 0; other < m_zones.size(); ++other)
    {
        near |= m_zones[other].region == own_region ? only(other) : 0;
    }
    std::vector<place_set> near_zones(list.zones.size());
    std::vector<place_set> far_zones(list.zones.size());
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
    const auto near_cover = cover(near_zones, m_zones.size(), zone);
    for (std::size_t at = 0; at < near_cover.size(); ++at)
    {
        add_owned_groups(by, at, near_cover[at], "", groups);
    }
    // Few entries beside the far replicas run them for all of the asking region, so that these keep
    // connections and know the latencies.
    const std::string region_name =
        own_region < m_regions.size() ? m_regions[own_region].name : m_region_name;
    const auto far_cover = cover(far_zones, m_zones.size(), nowhere);
    for (std::size_t at = 0; at < far_cover.size(); ++at)
    {
        add_owned_groups(by, at, far_cover[at], region_name + '/', groups);
    }
    return groups;
}

/// Far shards that any entry of their region may run: one group a region.
void shard_plan::add_far_groups(const list_plan& list, const std::vector<std::size_t>& far,
                                std::vector<planned_group>& into) const
{
    std::vector<place_set> regions(list.zones.size());
    for (const std::size_t shard : far)
    {
        regions[shard] = regions_of(list.zones[shard]);
    }
    const auto by_region = cover(regions, m_regions.size(), nowhere);
    for (std::size_t at = 0; at < by_region.size(); ++at)
    {
        if (by_region[at].size() >= least_group && !m_regions[at].entries.empty())
        {
            into.push_back({by_region[at], m_regions[at].entries, true});
        }
    }
}

void shard_plan::add_owned_groups(const route& by, std::size_t zone, const std::vector<std::size_t>& shards,
                                  const std::string& salt, std::vector<planned_group>& into)
{
    const std::vector<entry_index>& in_zone = m_zones[zone].entries;
    const std::vector<entry_index>& entries =
        in_zone.empty() ? m_regions[m_zones[zone].region].entries : in_zone;
    if (entries.empty() || shards.empty())
    {
        return;
    }
    // By position in the whole fan-out, so that a shard that comes or goes leaves the other groups as they
    // are.
    const std::size_t all = by.fan_out.size();
    const std::size_t size = group_size(all);
    const std::size_t groups = steady_count((shards.size() + size - 1) / size);
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
        item.runners = ranked(salt + m_zones[zone].name + '/' + by.fan_out[first].str(), entries);
        // None owns more groups than its share.
        const auto owner = std::find_if(item.runners.begin(), item.runners.end(),
                                        [&](entry_index name)
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

/// @return entries in the order of rendezvous hashing
std::vector<shard_plan::entry_index> shard_plan::ranked(const std::string& key,
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
    if (m_rankings.size() >= most_rankings)
    {
        m_rankings.clear();
    }
    m_rankings.emplace(key, order);
    return order;
}

shard_plan::group shard_plan::named(const planned_group& item) const
{
    group result;
    result.shards = item.shards;
    result.in_turn = item.in_turn;
    for (const entry_index runner : item.runners)
    {
        result.runners.push_back(m_names[runner]);
    }
    return result;
}

// ---------------------------------------------------------------------------------------------------------
// the plan
// ---------------------------------------------------------------------------------------------------------

const std::vector<shard_plan::group>& shard_plan::groups_of(const route& by)
{
    const auto known = m_lists.find(by.fan_out);
    if (known != m_lists.end())
    {
        return known->second.groups;
    }
    // A route that isn't in force any more, for a request that began with it.
    list_plan list = make_list(by);
    plan(by, list);
    return m_lists.emplace(by.fan_out, std::move(list)).first->second.groups;
}

std::size_t shard_plan::owners_of(const service_name& service) const
{
    const auto found = m_owners.find(service);
    return found == m_owners.end() ? 0 : found->second.owners;
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

std::set<instance_name> shard_plan::first_owners() const
{
    std::set<instance_name> names;
    for (const auto& [shards, list] : m_lists)
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
