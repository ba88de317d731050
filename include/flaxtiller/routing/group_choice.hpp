#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/owner_delays.hpp>
#include <flaxtiller/routing/owner_shift.hpp>
#include <flaxtiller/routing/shard_plan.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace flaxtiller
{

/// @brief Chooses the entry instance that runs each group of shards of a fan-out.
///
/// The choice is the most preferred candidate of the @ref shard_plan that is reachable and not in back-off
/// after a recent failure. If the choice balances owners, the second candidate of a group with owners runs a
/// part of its requests while the first one reports a longer delay; see @ref owner_delays. Deterministic.
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
        /// Set if the peer is the second candidate and was chosen by the delays of both.
        std::optional<owner_shift> shift{};
    };

    /// Returns the time that shards, given by their positions in the route's fan-out, would wait at this
    /// instance.
    using own_delay_function = std::function<duration(const std::vector<std::size_t>&)>;

    /// @param balances_owners whether groups are divided between their first two candidates by their delays
    explicit group_choice(bool balances_owners = false) : m_balances_owners(balances_owners)
    {
    }

    /// @brief Takes over a new view: routes, backend servers, peers and their reachability.
    void configure(const routing_view& view);

    /// @return the groups of the route's fan-out to delegate to other entries; this instance runs all other
    /// shards
    /// @param own_delay called for groups of which this instance is one of the first two candidates; without
    /// it, the delay of this instance counts as zero
    std::vector<group> groups_of(const route& matched_route, time_point now,
                                 const own_delay_function& own_delay = {});

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

    /// @brief Takes in the delay that another entry stated with an outcome.
    /// @param peer an entry of the view; the state of entries that leave the view is removed
    void on_delay_report(const instance_name& peer, duration delay, time_point now);

    /// @brief Removes the delay that an entry reported, as the link to it broke.
    void drop_delay_report(const instance_name& peer);

    /// @return the time that a group delegated to the entry is expected to wait there: its last report,
    /// weighted by age; zero if none is known
    duration delay_of(const instance_name& peer, time_point now) const
    {
        return m_delays.delay_of(peer, now);
    }

    /// @return the reported delays and the state of their use
    const owner_delays& delays() const noexcept
    {
        return m_delays;
    }

    /// @return the current plan
    const shard_plan& plan() const noexcept
    {
        return m_plan;
    }

  private:
    bool is_available(const instance_name& peer, time_point now) const;
    std::optional<instance_name> first_available(const shard_plan::group& item, time_point now);
    std::optional<owner_shift> shift_to_second(const shard_plan::group& item, duration objective,
                                               time_point now, const own_delay_function& own_delay);

    bool m_balances_owners = false;
    owner_delays m_delays;
    instance_name m_self;
    shared_value<std::vector<entry_peer>> m_peers;
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
