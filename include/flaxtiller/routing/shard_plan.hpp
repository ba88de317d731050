#pragma once

#include <flaxtiller/routing/location_set.hpp>
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

/// @brief Assigns the shards of each fan-out to the entry instances that run them.
///
/// The plan depends on the @ref routing_view alone, so all entries with the same view have the same plan.
/// Deterministic.
///
/// Views change many times per second while instances or backend servers start and stop. Only the lists of
/// shards with relevant changes are planned again, and routes with the same list share a plan. Planning each
/// view from scratch took 4% of the processor samples of 24 entries under frequent changes.
///
/// *Direct* mode applies if each entry may hold as many connections to a backend server as the backend server
/// has slots. The entry that received the request runs the shards with a replica in its own region. It
/// delegates the other shards, as one group per region, to an entry in that region.
///
/// *Owned* mode applies if there are too few connections for direct mode. The shards are divided into groups,
/// and each group has owners: entries of the availability zone that holds the replicas, chosen by rendezvous
/// hashing. The number of groups is about the number of shards per group, which minimizes the messages that
/// the delegating entry and an owner handle.
class shard_plan
{
  public:
    /// Fewer shards of another region than this are cheaper to run directly than to delegate.
    static constexpr std::size_t min_group_size = 2;
    /// The number of entries that may run a group, with the first choice: one may have failed, and another
    /// may be in back-off.
    static constexpr std::size_t max_owners = 4;
    /// The number of owners of a group that share its retry budget: the first choice and its substitute.
    static constexpr std::size_t budgeted_owners = 2;
    /// The greatest number of availability zones; plans ignore replicas in further ones.
    static constexpr std::size_t max_locations = detail::max_locations;

    /// @brief Shards that one entry runs together.
    struct group
    {
        /// Positions in the route's fan-out.
        std::vector<std::size_t> shards;
        /// The entries that may run the group, most preferred first; this instance may be among them.
        std::vector<instance_name> runner_candidates;
        /// Whether the candidates take turns, as the group has no owner.
        bool is_round_robin = false;

        bool operator==(const group&) const = default;
    };

    shard_plan() = default;
    explicit shard_plan(const routing_view& view);

    /// @brief Takes over a new view and plans again the lists of shards for which it differs.
    /// @complexity O(services), and O(zones · (shards · replicas + groups · entries)) for each list of shards
    /// for which an availability zone with replicas, or any entry, was added or removed
    void update(const routing_view& view);

    /// @return the groups of the route's fan-out; this instance runs the shards that are in no group
    /// @complexity amortized O(shards)
    const std::vector<group>& groups_of(const route& matched_route);

    /// @return whether this instance is a first owner of the service's shard: the first choice, or its
    /// substitute, of any availability zone
    bool owns(const service_name& service) const;

    /// @return whether the service's shard has owners; otherwise every entry runs it
    bool is_owned(const service_name& service) const;

    /// @return the number of first owners of the service's shard over all availability zones
    std::size_t owners_of(const service_name& service) const;

    /// @brief An entry's rank among the entries that send to a service's backend servers.
    struct sender
    {
        std::size_t senders = 0;
        /// The entry's rank among the senders, from 0; equal to @ref senders if it is not one of them.
        std::size_t rank = 0;
    };

    /// @return this instance's rank among the senders; the order depends on @a key and is equal on all
    /// entries
    /// @complexity O(senders)
    sender rank_of(const service_name& service, const std::string& key) const;

    /// @return the first owners of each group of all fan-out routes; this instance keeps links to these
    /// entries
    std::set<instance_name> linked_owners() const;

    /// @return the number of times that any list of shards was planned
    std::uint64_t lists_planned() const noexcept
    {
        return m_lists_planned;
    }

  private:
    using location_set = detail::location_set;
    /// An entry's position in the alphabetical order of the names.
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

    /// The properties of a service's backend servers that the plan depends on.
    struct service_locations
    {
        shared_value<placed_service> seen;
        /// The availability zones with a replica that is not leaving.
        location_set zones = 0;
        /// With more entries than this, some entries could not hold as many connections as a backend server
        /// has slots, and the shard needs owners.
        int most_direct_entries = std::numeric_limits<int>::max();
    };

    struct planned_group
    {
        std::vector<std::size_t> shards;
        std::vector<entry_index> runner_candidates;
        bool is_round_robin = false;
    };

    /// A list of shards and the regions in which its requests may run. Routes often share both.
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

    /// The plan for one list of shards, and the inputs of the plan.
    struct list_plan
    {
        /// By shard: the availability zones that hold a replica and in which the request may run.
        std::vector<location_set> zones;
        bool owned = false;
        std::vector<group> groups;
        /// By shard: the first owners for all availability zones.
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
    void add_owned_groups(const route& matched_route, std::size_t zone,
                          const std::vector<std::size_t>& shards, const std::string& salt,
                          std::vector<planned_group>& into);
    std::vector<entry_index> rank_entries(const std::string& key, const std::vector<entry_index>& entries);
    group to_group(const planned_group& item) const;

    shared_value<std::map<std::string, std::string>> m_region_of_zone;
    shared_value<std::vector<entry_peer>> m_peers;
    instance_name m_self;
    std::string m_zone_name;
    std::string m_region_name;
    int m_entry_count = 0;
    /// The names of all entries, this instance included, in alphabetical order.
    std::vector<instance_name> m_names;
    entry_index m_own_index = 0;
    std::vector<availability_zone> m_zones;
    std::vector<region> m_regions;
    std::unordered_map<service_name, service_locations> m_services;
    std::map<list_key, list_plan> m_lists;
    std::unordered_map<service_name, ownership> m_owners;
    /// A cache of rankings of entries by key; cleared when an entry is added or removed.
    std::unordered_map<std::string, std::vector<entry_index>> m_rankings;
    std::uint64_t m_lists_planned = 0;
};

} // namespace flaxtiller
