#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Decides which control replica an instance follows: the nearest one that can be reached, unless it
/// lags. Deterministic.
///
/// Whoever changes gets the configuration and all registrations anew, often from another region. Of 65
/// instances, 127 changes in six seconds without any fault were 15 once replicas that are only busy were
/// waited for.
class replica_choice
{
  public:
    /// How long the replica that is followed may lack the revision that the leader named: longer than a
    /// commit takes to reach it, shorter than operators wait.
    static constexpr duration lag_bound = duration::from_ms(900);
    /// The same for an instance that serves nobody yet: a replica's word within a region takes some
    /// milliseconds, and some hundred where many processes start at once.
    static constexpr duration first_lag_bound = duration::from_ms(400);
    /// One that said that it has the revision is only busy: 390 kB for each of a dozen followers take about a
    /// second. What is left to operators then suffices for a fetch from elsewhere.
    static constexpr duration transfer_bound = duration::from_ms(1800);
    /// An instance that follows nobody yet waits this long after its first link for its own zone's replica:
    /// links within a zone stand some milliseconds after a start.
    static constexpr duration near_bound = duration::from_ms(250);
    /// How long a replica that lagged isn't followed: a wiped one has learned the log by then.
    static constexpr duration passed_over_for = duration::from_ms(10000);

    enum class distance
    {
        in_zone,
        in_region,
        far,
    };

    struct candidate
    {
        std::string name;
        distance away = distance::far;

        bool operator==(const candidate&) const = default;
    };

    /// @brief A replica said which revision it has.
    void on_word(const std::string& replica, std::int64_t revision);

    /// @brief A replica can't be reached any more.
    void on_lost(const std::string& replica);

    /// @brief The leader named the present revision.
    /// @return whether the instance fell behind by this
    bool on_wanted(std::int64_t revision, time_point now);

    /// @brief The instance put a revision in force.
    void on_in_force(std::int64_t revision) noexcept;

    /// @param reachable replicas that can be reached
    /// @param leader taken where no candidate is left
    /// @param serves whether the instance serves callers already
    /// @return whom to follow now; empty for nobody yet
    std::string choose(const std::vector<candidate>& reachable, const std::string& leader, bool serves,
                       time_point now);

    /// @return the revision that a replica last said it has; 0 if it said none
    std::int64_t said(const std::string& replica) const;

    /// @return the replica that is followed
    const std::string& followed() const noexcept
    {
        return m_followed;
    }

  private:
    bool lags(bool serves, time_point now) const;

    std::string m_followed;
    std::int64_t m_in_force = 0;
    std::int64_t m_wanted = 0;
    /// Since when the instance lacks what the leader named.
    time_point m_behind_since = time_point::never();
    /// From when on any replica may be followed, and not only one of the own availability zone.
    time_point m_follow_any_at = time_point::never();
    std::map<std::string, std::int64_t> m_said;
    std::map<std::string, time_point> m_passed_over_until;
};

} // namespace flaxtiller::distribution
