#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/shard_plan.hpp>

#include <map>
#include <optional>
#include <vector>

namespace flaxtiller
{

/// @brief Chooses the entry instance that runs each group of shards of a fan-out.
///
/// The choice is the most preferred candidate of the @ref shard_plan that is reachable and not in back-off
/// after a recent failure. Deterministic.
class group_choice
{
  public:
    /// An entry that failed or did not answer gets no groups for this long; each further failure doubles it.
    static constexpr duration backoff = duration::from_ms(1000);
    static constexpr duration max_backoff = duration::from_ms(8000);

    /// @brief Shards to delegate to another entry.
    struct group
    {
        instance_name peer;
        /// Positions in the route's fan-out.
        std::vector<std::size_t> shards;
    };

    /// @brief Takes over a new view: routes, backend servers, peers and their reachability.
    void configure(const routing_view& view);

    /// @return the groups of the route's fan-out to delegate to other entries; this instance runs all other
    /// shards
    std::vector<group> groups_of(const route& matched_route, time_point now);

    /// @return the groups of the route's fan-out, with all candidates of each
    const std::vector<shard_plan::group>& candidates_of(const route& matched_route)
    {
        return m_plan.groups_of(matched_route);
    }

    /// @return the entry to try after @a failed for the group that begins with @a first_shard: another
    /// candidate, or this instance's own name if it is next; nothing if no candidate is left
    std::optional<instance_name> next_runner(const route& matched_route, std::size_t first_shard,
                                             const instance_name& failed, time_point now);

    /// @brief Records that an entry failed or did not answer in time, and starts or extends its back-off.
    void failed(const instance_name& peer, time_point now);

    /// @brief Records that an entry answered; this ends its back-off.
    void answered(const instance_name& peer);

    /// @return the current plan
    const shard_plan& plan() const noexcept
    {
        return m_plan;
    }

  private:
    bool is_available(const instance_name& peer, time_point now) const;
    std::optional<instance_name> first_available(const shard_plan::group& item, time_point now);

    instance_name m_self;
    shared_value<std::set<instance_name>> m_unreachable;
    shard_plan m_plan;
    struct failures
    {
        time_point until;
        duration length{};
    };

    std::map<instance_name, failures> m_backoffs;
    /// The candidate that the next round-robin choice starts with.
    std::size_t m_next_start = 0;
};

} // namespace flaxtiller
