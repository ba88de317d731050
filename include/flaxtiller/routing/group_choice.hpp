#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/shard_plan.hpp>

#include <map>
#include <optional>
#include <vector>

namespace flaxtiller
{

/// @brief Decides which entry runs each group of a fan-out now: the first one of the @ref shard_plan that can
/// be reached and didn't fail lately. Deterministic.
class group_choice
{
  public:
    /// How long an entry that failed or was silent gets no groups; doubled with each further failure.
    static constexpr duration backoff = duration::from_ms(1000);
    static constexpr duration max_backoff = duration::from_ms(8000);

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
    std::vector<group> groups_of(const route& matched_route, time_point now);

    /// @return whom to ask after @a failed: another entry that may run the shards, or this one's own name if
    /// it is the next; nothing if there is none
    std::optional<instance_name> next_runner(const route& matched_route, std::size_t first_shard,
                                         const instance_name& failed, time_point now);

    /// @brief An entry failed to answer in time.
    void failed(const instance_name& peer, time_point now);

    /// @brief An entry answered.
    void answered(const instance_name& peer);

    /// @return the plan in force
    const shard_plan& plan() const noexcept
    {
        return m_plan;
    }

  private:
    bool is_available(const instance_name& peer, time_point now) const;
    std::optional<instance_name> first_of(const shard_plan::group& item, time_point now);

    instance_name m_self;
    shared_value<std::set<instance_name>> m_unreachable;
    shard_plan m_plan;
    struct failures
    {
        time_point until;
        duration length{};
    };

    std::map<instance_name, failures> m_backoffs;
    std::size_t m_next_start = 0;
};

} // namespace flaxtiller
