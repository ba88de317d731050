#pragma once

#include <flaxtiller/routing/place_set.hpp>
#include <flaxtiller/routing/routing_view.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

/// @brief Which entry instances run which shards of a fan-out. A function of the view alone, so that all
/// entries with the same view plan alike. Deterministic.
///
/// Views follow one another many times a second while instances or backend servers come and go. Only lists of
/// shards for which anything that matters changed are planned anew; routes that share a list share its plan.
/// A plan from scratch for each view was 4% of the processor samples of 24 entries on a day full of changes.
///
/// *Direct*: where each entry may hold as many connections to a backend server as that has slots, the shards
/// with a replica in the own region are run by the entry that has the caller. The others go, as one group for
/// a region, to an entry there.
///
/// *Owned*: where the connections don't suffice for that, the shards are cut into groups, and each group has
/// owners: entries of the availability zone that holds the replicas, chosen by rendezvous hashing. With about
/// as many groups as shards in each, neither the asker nor an owner handles more messages than it must.
class shard_plan
{
  public:
    /// Fewer far shards than this are cheaper to ask directly.
    static constexpr std::size_t min_group_size = 2;
    /// Entries that may run a group, the first choice included: one may have failed, and another be passed
    /// over.
    static constexpr std::size_t max_owners = 4;
    /// The owners of a group that also count what it may repeat: the first choice, and who stands in for it.
    static constexpr std::size_t budgeted_owners = 2;
    /// Availability zones; replicas in further ones are known to no plan.
    static constexpr std::size_t max_locations = detail::max_locations;

    /// @brief Shards that are run together.
    struct group
    {
        /// Positions in the route's fan-out.
        std::vector<std::size_t> shards;
        /// The entries that may run them, most preferred first; this instance may be one.
        std::vector<instance_name> runner_candidates;
        /// Whether the runners take turns, as none of them owns the group.
        bool is_round_robin = false;

        bool operator==(const group&) const = default;
    };

    shard_plan() = default;
    explicit shard_plan(const routing_view& view);

    /// @brief Another view.
    /// @complexity O(services), and O(zones · (shards · replicas + groups · entries)) for each list of shards
    /// of which a replica's availability zone, or any entry, came or went
    void update(const routing_view& view);

    /// @return the groups of a fan-out by this route; shards in no group are run here
    /// @complexity amortized O(shards)
    const std::vector<group>& groups_of(const route& matched_route);

    /// @return whether this instance is among the entries that any availability zone asks first for the
    /// service
    bool owns(const service_name& service) const;

    /// @return whether the service's shard has owners, rather than being run by every entry
    bool is_owned(const service_name& service) const;

    /// @return the number of entries that any availability zone asks first for the service
    std::size_t owners_of(const service_name& service) const;

    /// @brief One of the entries that send to a service's backend servers.
    struct sender
    {
        std::size_t senders = 0;
        /// Its place among them; @ref senders if it isn't one of them.
        std::size_t rank = 0;
    };

    /// @return this instance's place among the senders, in an order that all agree on and that @a key varies
    /// @complexity O(senders)
    sender rank_of(const service_name& service, const std::string& key) const;

    /// @return the first two owners of each group of all fan-out routes: whom to keep links to
    std::set<instance_name> linked_owners() const;

    /// @return how often a list of shards was planned since the beginning
    std::uint64_t lists_planned() const noexcept
    {
        return m_lists_planned;
    }

  private:
    using location_set = detail::location_set;
    /// An entry's position in the order of their names.
    using entry_index = std::uint32_t;
    static constexpr std::size_t no_index = std::numeric_limits<std::size_t>::max();

    struct availability_zone
    {
        std::string name;
        std::size_t region = 0;
        std::vector<entry_index> entries;
    };

    struct region
    {
        std::string name;
        std::vector<entry_index> entries;
    };

    /// What the plan reads of a service's backend servers.
    struct service_locations
    {
        shared_value<placed_service> seen;
        /// Those with a replica that isn't leaving.
        location_set zones = 0;
        /// With more entries than this, some can't hold as many connections as a backend server has slots.
        int most_direct_entries = std::numeric_limits<int>::max();
    };

    struct planned_group
    {
        std::vector<std::size_t> shards;
        std::vector<entry_index> runner_candidates;
        bool is_round_robin = false;
    };

    /// A list of shards, and where its requests may run. Routes often share both.
    struct list_key
    {
        std::vector<service_name> shards;
        region_set regions;

        auto operator<=>(const list_key&) const = default;
    };

    static list_key key_of(const route& matched_route)
    {
        return {matched_route.fan_out, matched_route.allowed_regions};
    }

    /// The plan for one list of shards, and what it was made from.
    struct list_plan
    {
        /// By shard: the availability zones that hold it and where it may run.
        std::vector<location_set> zones;
        bool owned = false;
        std::vector<group> groups;
        /// By shard: the entries that any availability zone asks first.
        std::vector<std::vector<entry_index>> owners;
    };

    struct ownership
    {
        std::vector<entry_index> owners;
        bool includes_self = false;
    };

    bool update_zones(const routing_view& view);
    bool update_entries(const routing_view& view);
    void index_entries();
    std::size_t region_index(const std::string& name) const;
    void update_services(const routing_view& view);
    void update_service(const shared_value<placed_service>& placed, service_locations& into) const;
    bool update_list(const route& matched_route, bool entries_changed);
    void count_owners();
    sender rank_among_senders(const std::vector<entry_index>& senders, const std::string& key) const;
    std::size_t zone_index(const std::string& name) const;
    location_set zones_in(const region_set& regions) const;
    location_set regions_of(location_set zones) const;
    list_plan make_list(const route& matched_route) const;
    bool is_owned(const std::vector<service_name>& shards) const;
    void plan(const route& matched_route, list_plan& into);
    std::vector<planned_group> plan_from(const route& matched_route, const list_plan& list, std::size_t zone,
                                         std::size_t own_region);
    void add_far_groups(const list_plan& list, const std::vector<std::size_t>& far,
                        std::vector<planned_group>& into) const;
    void add_owned_groups(const route& matched_route, std::size_t zone, const std::vector<std::size_t>& shards,
                          const std::string& salt, std::vector<planned_group>& into);
    std::vector<entry_index> rank_entries(const std::string& key, const std::vector<entry_index>& entries);
    group to_group(const planned_group& item) const;

    shared_value<std::map<std::string, std::string>> m_region_of_zone;
    shared_value<std::vector<entry_peer>> m_peers;
    instance_name m_self;
    std::string m_zone_name;
    std::string m_region_name;
    int m_entry_count = 0;
    /// All entries, this one too, by name.
    std::vector<instance_name> m_names;
    entry_index m_own_index = 0;
    std::vector<availability_zone> m_zones;
    std::vector<region> m_regions;
    std::unordered_map<service_name, service_locations> m_services;
    std::map<list_key, list_plan> m_lists;
    std::unordered_map<service_name, ownership> m_owners;
    /// Rankings of entries by key, as long as no entry comes or goes.
    std::unordered_map<std::string, std::vector<entry_index>> m_rankings;
    std::uint64_t m_lists_planned = 0;
};

} // namespace flaxtiller
