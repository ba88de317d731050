#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Selects the control replica that an instance follows: the nearest reachable one, unless it lags
/// behind the current revision. The class is a deterministic state machine without I/O.
///
/// A replica that lagged or whose link was lost is excluded. It may be cut off from the other replicas and
/// still be reachable by the instance, so that it is followed again only after it has reported the current
/// revision and a leader; the instance asks it meanwhile.
///
/// After a change of replica an instance receives the complete configuration and all registrations again,
/// often from another region. Waiting for replicas that are only busy reduced the changes of 65 instances in
/// six seconds without faults from 127 to 15.
class control_replica_selector
{
  public:
    /// The time for which the followed replica may lack the revision that the leader confirmed. It exceeds
    /// the time in which a commit reaches a replica, and is shorter than the time that operators wait for a
    /// change.
    static constexpr duration max_lag = duration::from_ms(900);
    /// The same for an instance that does not serve callers yet. A message of a replica in the same region
    /// takes a few milliseconds, and a few hundred while many processes start at the same time.
    static constexpr duration max_lag_before_serving = duration::from_ms(400);
    /// The same for a replica that reported the revision and is only busy sending it: 390 kB for each of a
    /// dozen followers take about a second. The remaining time until operators stop waiting suffices for a
    /// transfer from another replica.
    static constexpr duration max_transfer_time = duration::from_ms(1800);
    /// The time for which an instance that does not follow a replica yet waits, from its first connection,
    /// for the replica in its own availability zone. Connections within a zone are established a few
    /// milliseconds after a start.
    static constexpr duration own_zone_wait = duration::from_ms(250);
    /// The time in which a lost link is replaced if the replica answers.
    static constexpr duration link_renewal_time = duration::from_ms(300);
    /// The number of successive answers in which the followed replica names no leader, each after a leader's
    /// confirmation, until another replica is followed: it is cut off from the leader, or no longer a member,
    /// and lacks the registrations of the others. After an election one such answer is usual.
    static constexpr int max_leaderless_answers = 2;
    /// The minimum time for which a replica that lagged is not followed. A replica whose storage was erased
    /// receives the whole log within this time.
    static constexpr duration lagging_exclusion_time = duration::from_ms(10000);

    /// @brief The location of a control replica relative to the instance.
    enum class distance
    {
        in_zone,
        in_region,
        other_region,
    };

    /// @brief A reachable control replica.
    struct candidate
    {
        std::string name;
        distance away = distance::other_region;

        bool operator==(const candidate&) const = default;
    };

    /// @param apply_bound the time within which a change must be in force; zero if there is no bound
    explicit control_replica_selector(duration apply_bound = duration{}) noexcept;

    /// @brief Processes a replica's report of the revision that it has.
    /// @param knows_leader whether the replica is the leader or in contact with one
    void on_word(const std::string& replica, std::int64_t revision, bool knows_leader);

    /// @brief Processes the loss of the connection to a replica.
    void on_lost(const std::string& replica, time_point now);

    /// @brief Processes the leader's confirmation of the current revision.
    /// @return whether the instance has an older revision and had not lagged before
    bool on_current_revision(std::int64_t revision, time_point now);

    /// @brief Processes the activation of a revision by the instance.
    void on_activated(std::int64_t revision) noexcept;

    /// @brief Selects the replica to follow.
    /// @param reachable the reachable replicas
    /// @param leader the replica to follow if no candidate is left
    /// @param serves whether the instance already serves callers
    /// @return the name of the replica to follow; empty while the instance waits for one
    std::string choose(const std::vector<candidate>& reachable, const std::string& leader, bool serves,
                       time_point now);

    /// @return whether the replica is excluded, so that it must be asked for the revision that it has
    bool is_excluded(const std::string& replica) const;

    /// @return the time at which @ref choose must be called, even if nothing happens until then
    time_point next_check(bool serves, time_point now) const;

    /// @return the time for which the instance has lacked the current revision; zero if it has it
    duration behind_for(time_point now) const noexcept
    {
        return m_behind_since == time_point::never() ? duration{} : now - m_behind_since;
    }

    /// @return the revision that a replica last reported; 0 if it reported none
    std::int64_t reported_revision(const std::string& replica) const;

    /// @return the replica that is followed
    const std::string& followed() const noexcept
    {
        return m_followed;
    }

  private:
    /// @brief A replica that is not followed until it has reported the current revision and a leader.
    struct exclusion
    {
        time_point until{};
        std::int64_t revision = 0;
        bool knows_leader = false;
    };

    duration lag_bound(bool serves) const;
    bool is_lagging(bool serves, time_point now) const;
    bool awaits_new_link(time_point now) const;
    void exclude(const std::string& replica, time_point until);
    void end_exclusions(time_point now);

    /// The share of the bound of changes that the detection of a lagging replica may take, and that the
    /// transfer from a replica that has the revision may take.
    static constexpr double max_lag_share = 0.3;
    static constexpr double max_transfer_share = 0.6;

    duration m_apply_bound;

    std::string m_followed;
    std::int64_t m_active_revision = 0;
    std::int64_t m_current_revision = 0;
    /// The time since which the instance lacks the current revision.
    time_point m_behind_since = time_point::never();
    /// The time from which any replica may be followed, rather than only one in the instance's own
    /// availability zone.
    time_point m_follow_any_at = time_point::never();
    std::map<std::string, std::int64_t> m_reported_revisions;
    std::map<std::string, exclusion> m_exclusions;
    /// The number of successive answers of the followed replica that named no leader, and whether a leader
    /// has confirmed the revision since the last of them.
    int m_leaderless_answers = 0;
    bool m_confirmed_since_answer = false;
    /// The time at which the link to the followed replica was lost; the replica has not answered since.
    time_point m_followed_lost_at = time_point::never();
};

} // namespace flaxtiller::distribution
