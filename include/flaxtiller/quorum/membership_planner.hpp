#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/progress.hpp>
#include <flaxtiller/quorum/tolerated_losses.hpp>

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
/// A silent replica may return with its disk, and what was committed may be on few other disks. Its entries
/// only count while it is a voter. Therefore:
/// - A silent voter is removed only if the other voters outlast the losses that must be tolerated.
/// - A new replica becomes a learner and is promoted before a silent voter is removed.
/// - A replica that lost its disk becomes a learner under its new incarnation at once: the incarnation that
///   voted no longer exists.
/// - A new replica waits while a voter is silent that is not lost yet, unless voters are missing. One more
///   voter would raise the majority just when few voters can be reached.
class membership_planner
{
  public:
    struct options
    {
        /// A voter that was silent for this long counts as lost. A restart takes less time.
        duration lost_after = duration::from_ms(3000);
        /// A voter that was silent for this long may be lost. Its heartbeats come more often.
        duration doubtful_after = duration::from_ms(1000);
        /// Older announcements are ignored.
        duration max_announcement_age = duration::from_ms(2000);
        tolerated_losses tolerated;

        bool operator==(const options&) const = default;
    };

    explicit membership_planner(options limits) : m_options(limits)
    {
    }

    /// @brief The state of a member set as its leader knows it.
    struct view
    {
        /// The name of the leader.
        const replica_name& self;
        /// The leader's current member set.
        const member_set& members;
        /// The replication progress of the other members.
        const std::map<replica_name, progress>& others;
        /// The last announcement of each reachable replica, by name.
        const std::map<replica_name, announcement>& announced;
        /// The places of the replicas, as far as they are known.
        const std::map<replica_name, replica_place>& places;
    };

    /// @return the next change to propose, or nothing
    std::optional<member_change> next(const view& current, time_point now) const;

  private:
    /// @return whether the member is another one from which nothing was received for at least @a length
    static bool is_silent(const view& current, const replica_name& name, duration length, time_point now);
    /// @return the replica that lost its disk and must become a learner, or nothing
    std::optional<member_change> returned_without_disk(const view& current, time_point now) const;
    /// @return a silent voter that the set does better without, or nothing
    std::optional<member_change> removable_voter(const view& current, time_point now) const;
    /// @return a replica that is not a member yet, or nothing
    std::optional<member_change> new_replica(const view& current, time_point now) const;
    /// @return a silent learner to remove, or nothing
    std::optional<member_change> removable_learner(const view& current, time_point now) const;

    bool is_current(const announcement& latest, time_point now) const noexcept
    {
        return now - latest.last_contact <= m_options.max_announcement_age;
    }

    options m_options;
};

} // namespace flaxtiller::quorum
