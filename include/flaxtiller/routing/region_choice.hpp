#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/routing_view.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Decides which shards of a fan-out are run here, and which by entry instances of other regions: one
/// message there and one back for a group of shards, instead of one for each. Deterministic.
///
/// A shard with a replica in the own region is run here. The others go to the region that holds most of them,
/// what is left to the next one. Among a region's entries turns are taken; one that failed is passed over for
/// a while.
class region_choice
{
  public:
    /// How long an entry that failed or was late gets no shards.
    static constexpr duration pass_over = duration::from_ms(1000);
    /// Fewer shards than this are cheaper to ask directly.
    static constexpr std::size_t least_group = 2;

    /// @brief Shards that another entry shall run.
    struct group
    {
        instance_name peer;
        /// Positions in the route's fan-out.
        std::vector<std::size_t> shards;
    };

    /// @brief Other routes, backend servers or peers.
    void configure(const routing_view& view);

    /// @return what other entries shall run of a fan-out by this route; all other shards are run here
    std::vector<group> groups_of(const route& by, time_point now);

    /// @brief An entry failed to answer in time.
    void failed(const instance_name& peer, time_point now);

  private:
    using by_region = std::map<std::string, std::vector<std::size_t>>;

    std::set<std::string> regions_with(const service_name& service) const;
    by_region split(const route& by) const;
    std::optional<instance_name> next_entry(const std::string& region, time_point now);

    routing_view m_view;
    /// By route: shards that have no replica here, by the region that shall run them.
    std::map<std::string, by_region> m_split;
    std::map<instance_name, time_point> m_passed_over_until;
    std::size_t m_turn = 0;
};

} // namespace flaxtiller
