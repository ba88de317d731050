#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/progress.hpp>

#include <map>
#include <optional>

namespace flaxtiller::quorum
{

/// @brief A replica that says which incarnation of the log it holds.
struct announcement
{
    incarnation_id incarnation = 0;
    time_point last_contact{};

    bool operator==(const announcement&) const = default;
};

/// @brief One change of the member set.
struct member_change
{
    enum class kind
    {
        /// Add as a learner, in place of an earlier incarnation.
        add,
        remove,
    };

    kind operation = kind::add;
    replica_name name;
    incarnation_id incarnation = 0;

    bool operator==(const member_change&) const = default;
};

/// @brief Decides how a leader mends its member set: newcomers learn, a wiped replica learns anew, and a
/// voter that stays away leaves the set once a newcomer is there to take its place. Deterministic, without
/// state.
///
/// A lost voter stays as long as nobody can replace it, since it may come back, unless the voters are an even
/// number: then the set bears as many losses without it.
class membership_planner
{
  public:
    struct options
    {
        /// A voter silent for this long may be replaced; a restart takes less.
        duration lost_after = duration::from_ms(3000);
        /// An announcement counts for this long.
        duration max_announcement_age = duration::from_ms(2000);

        bool operator==(const options&) const = default;
    };

    explicit membership_planner(options limits) : m_options(limits)
    {
    }

    /// @param others what the leader knows of the other members
    /// @param announced by name, from all replicas that can be reached
    /// @return the next change to propose, or nothing
    std::optional<member_change> next(const replica_name& self, const member_set& members,
                                      const std::map<replica_name, progress>& others,
                                      const std::map<replica_name, announcement>& announced,
                                      time_point now) const;

  private:
    bool is_silent(const replica_name& name, const std::map<replica_name, progress>& others,
                   time_point now) const;
    std::optional<replica_name> replaceable(const replica_name& self, const member_set& members,
                                            const std::map<replica_name, progress>& others,
                                            time_point now) const;

    options m_options;
};

} // namespace flaxtiller::quorum
