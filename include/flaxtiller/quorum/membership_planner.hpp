#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/progress.hpp>

#include <map>
#include <optional>

namespace flaxtiller::quorum
{

/// @brief A replica's announcement of the incarnation of its data folder.
struct announcement
{
    incarnation_id incarnation = 0;
    /// The time at which the announcement was received.
    time_point last_contact{};

    bool operator==(const announcement&) const = default;
};

/// @brief One change of the member set.
struct member_change
{
    enum class kind
    {
        /// Adds the replica as a learner and replaces an earlier incarnation of it.
        add,
        remove,
    };

    kind operation = kind::add;
    replica_name name;
    incarnation_id incarnation = 0;

    bool operator==(const member_change&) const = default;
};

/// @brief Plans the changes by which a leader repairs its member set. Deterministic and stateless.
///
/// A new replica is added as a learner. A replica that lost its disk is added again as a learner under its
/// new incarnation. A silent voter is removed once a new replica is available to replace it.
///
/// Without a replacement a silent voter remains a member, since it may return. The exception is an even
/// number of voters: the set then tolerates as many failures without the silent voter.
class membership_planner
{
  public:
    struct options
    {
        /// A voter that was silent for this long may be replaced. A restart takes less time.
        duration lost_after = duration::from_ms(3000);
        /// Older announcements are ignored.
        duration max_announcement_age = duration::from_ms(2000);

        bool operator==(const options&) const = default;
    };

    explicit membership_planner(options limits) : m_options(limits)
    {
    }

    /// @param self the name of the leader
    /// @param members the leader's current member set
    /// @param others the replication progress of the other members
    /// @param announced the last announcement of each reachable replica, by name
    /// @param now the current time
    /// @return the next change to propose, or nothing
    std::optional<member_change> next(const replica_name& self, const member_set& members,
                                      const std::map<replica_name, progress>& others,
                                      const std::map<replica_name, announcement>& announced,
                                      time_point now) const;

  private:
    bool is_silent(const replica_name& name, const std::map<replica_name, progress>& others,
                   time_point now) const;
    /// @return a silent voter without which the remaining voters still have a reachable majority, or nothing
    std::optional<replica_name> replaceable(const replica_name& self, const member_set& members,
                                            const std::map<replica_name, progress>& others,
                                            time_point now) const;

    options m_options;
};

} // namespace flaxtiller::quorum
