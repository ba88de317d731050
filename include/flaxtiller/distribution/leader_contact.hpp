#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

/// @brief Whether an instance is in contact with the leader of the control replicas. The class is a
/// deterministic state machine without I/O.
///
/// Contact is lost when the leader's confirmations stay away, or, after the first one, when no control
/// replica is reachable. A reachable replica alone doesn't keep it: the replica may itself be cut off, or no
/// longer be a member.
class leader_contact
{
  public:
    /// Number of report intervals without a confirmation after which contact is lost, since another replica
    /// may lead by then.
    static constexpr double missed_reports_until_lost = 2.5;
    /// The time without a reachable control replica after which contact is lost. Links that were closed are
    /// renewed within this time.
    static constexpr duration unreachable_until_lost = duration::from_ms(300);

    /// The time for which the followed replica names no leader until contact is lost. Most elections take
    /// less time. Replicas answer the reports of their followers more often than a leader of many instances
    /// does.
    static constexpr duration leaderless_until_lost = duration::from_ms(2500);

    /// @param start the start of the instance, which then has no contact
    explicit leader_contact(time_point start) noexcept : m_confirmed_at(start)
    {
    }

    /// @brief Processes a confirmation from the leader.
    /// @param report_interval the interval at which the leader expects reports
    void on_confirmation(duration report_interval, time_point now) noexcept
    {
        m_was_confirmed = true;
        m_confirmed_at = now;
        m_leaderless_since = time_point::never();
        m_report_interval = report_interval;
    }

    /// @brief Processes an answer of the followed control replica.
    /// @param names_leader whether the replica is the leader or in contact with one
    void on_followed_replica(bool names_leader, time_point now) noexcept
    {
        m_leaderless_since = names_leader ? time_point::never() : std::min(m_leaderless_since, now);
    }

    /// @brief Sets whether any control replica is reachable.
    void set_replica_reachable(bool reachable, time_point now) noexcept
    {
        if (reachable)
        {
            m_unreachable_since = time_point::never();
        }
        else if (m_unreachable_since == time_point::never())
        {
            m_unreachable_since = now;
        }
    }

    /// @return the time since the last confirmation, or since the start
    duration since_confirmation(time_point now) const noexcept
    {
        return now - m_confirmed_at;
    }

    /// @return whether contact with the leader is lost
    bool is_lost(time_point now) const noexcept
    {
        const bool is_unreachable = m_was_confirmed && m_unreachable_since != time_point::never() &&
                                    now - m_unreachable_since >= unreachable_until_lost;
        const bool is_leaderless =
            m_leaderless_since != time_point::never() && now - m_leaderless_since >= leaderless_until_lost;
        return is_unreachable || is_leaderless ||
               since_confirmation(now) >= m_report_interval * missed_reports_until_lost;
    }

  private:
    bool m_was_confirmed = false;
    time_point m_confirmed_at;
    duration m_report_interval = duration::from_ms(1000);
    time_point m_unreachable_since = time_point::never();
    time_point m_leaderless_since = time_point::never();
};

} // namespace flaxtiller::distribution
