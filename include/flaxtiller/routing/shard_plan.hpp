#pragma once

#include <flaxtiller/routing/routing_view.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Which entry instances run which shards of a fan-out. A function of the view alone, so that all
/// entries with the same view plan alike. Deterministic.
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
    static constexpr std::size_t least_group = 2;
    /// Entries that may run a group, the first choice included: one may have failed, and another be passed
    /// over.
    static constexpr std::size_t most_owners = 4;

    /// @brief Shards that are run together.
    struct group
    {
        /// Positions in the route's fan-out.
        std::vector<std::size_t> shards;
        /// The entries that may run them, most preferred first; this instance may be one.
        std::vector<instance_name> runners;
        /// Whether the runners take turns, as none of them owns the group.
        bool in_turn = false;

        bool operator==(const group&) const = default;
    };

    shard_plan() = default;
    explicit shard_plan(routing_view view);

    /// @return the groups of a fan-out by this route; shards in no group are run here
    /// @complexity amortized O(1); O(shards · replicas + groups · entries) once for each list of shards
    const std::vector<group>& groups_of(const route& by);

    /// @return whether this instance is among the entries that any availability zone asks first for the
    /// service
    bool owns(const service_name& service) const;

    /// @return whether the service's shard has owners, rather than being run by every entry
    bool is_owned(const service_name& service) const;

    /// @return the number of entries that any availability zone asks first for the service
    std::size_t owners_of(const service_name& service) const;

    /// @return the first two owners of each group of all fan-out routes: whom to keep links to
    std::set<instance_name> first_owners() const;

  private:
    using shards_by_place = std::map<std::string, std::vector<std::size_t>>;

    /// From where a plan is made.
    struct viewpoint
    {
        std::string zone;
        std::string region;
    };

    void find_owners(const route& by);
    const std::set<std::string>& zones_with(const service_name& service);
    std::string region_of(const std::string& zone) const;
    bool is_owned(const route& by) const;
    shards_by_place cover(const std::vector<std::set<std::string>>& places, const std::string& first) const;
    std::vector<group> plan(const route& by, const viewpoint& from);
    void add_far_groups(const route& by, const std::vector<std::size_t>& far, std::vector<group>& into);
    void add_far_owned_groups(const route& by, const viewpoint& from, const std::vector<std::size_t>& far,
                              std::size_t size, std::vector<group>& into);
    void add_owned_groups(const route& by, const std::string& zone, const std::vector<std::size_t>& shards,
                          std::size_t size, const std::string& salt, std::vector<group>& into) const;
    std::vector<instance_name> entries_in_zone(const std::string& zone) const;
    std::vector<instance_name> entries_in_region(const std::string& region) const;

    routing_view m_view;
    /// By the list of shards: routes often share one.
    std::map<std::vector<service_name>, std::vector<group>> m_plans;
    std::map<service_name, std::set<std::string>> m_zones;
    /// Who is asked first, by all availability zones, for each service whose shard has owners.
    std::map<service_name, std::set<instance_name>> m_owners;
};

} // namespace flaxtiller
