#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/routing_view.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Decides whether a fan-out is run here, or by an entry instance in a region that holds its shards:
/// one message there and one back, instead of one a shard. Deterministic.
///
/// A fan-out is sent away if less than half of its shards have a replica in the own region, and another
/// region has replicas of all. Among the entries of such regions turns are taken; one that failed is passed
/// over for a while.
class region_choice
{
  public:
    /// How long an entry that failed or was late gets no fan-outs.
    static constexpr duration pass_over = duration::from_ms(1000);

    /// @brief Other routes or backend servers.
    void configure(const routing_view& view);

    /// @return the entry that shall run a fan-out by this route, or nothing for this one itself
    std::optional<instance_name> next(const route& by, time_point now);

    /// @brief An entry failed to answer in time.
    void failed(const instance_name& peer, time_point now);

  private:
    std::vector<std::string> regions_of(const route& by) const;

    routing_view m_view;
    std::map<std::string, std::vector<std::string>> m_regions_by_route;
    std::map<instance_name, time_point> m_passed_over_until;
    std::size_t m_turn = 0;
};

} // namespace flaxtiller
