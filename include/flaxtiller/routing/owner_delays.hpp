#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/routing/delay_report.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief The delays that owners of shards reported, and the division of groups between two owners by them.
///
/// The first owner of a group runs it unless its delay exceeds that of the second owner. The part of the
/// second owner then grows with the difference, up to a bound. Deterministic.
class owner_delays
{
  public:
    /// The time in which a report loses half of its weight. An entry that sends an owner one group per second
    /// still has a report of weight 0.5 at each decision.
    static constexpr duration half_life = duration::from_ms(1000);
    /// A report of this age has no weight, so a group returns to its first owner within this time if reports
    /// stop.
    static constexpr duration max_age = duration::from_ms(5000);
    /// A longer reported delay counts as this one, as no caller of a fan-out waits longer.
    static constexpr duration max_counted = duration::from_ms(2000);
    /// A smaller difference changes nothing. It is about a round trip between availability zones of a region.
    static constexpr duration min_difference = duration::from_ms(3);
    /// The greatest part of a group's requests that the second owner runs. The first owner keeps the rest, so
    /// that it reports its recovery and keeps its connections open.
    static constexpr double max_second_share = 0.75;
    /// The second owner has its greatest part at a difference of this share of the route's objective. With a
    /// greater share, an overloaded owner keeps more groups than it can run, and they are delegated again.
    static constexpr double full_shift_share = 0.125;
    /// The same difference for a route without an objective.
    static constexpr duration default_full_shift = duration::from_ms(50);

    /// @brief Takes in the delay that an owner stated.
    void report(const instance_name& owner, duration delay, time_point now);

    /// @brief Removes the report of an owner, as the link over which it came broke.
    void drop(const instance_name& owner);

    /// @brief Removes the state of all owners for which @a is_listed is false.
    void retain(const std::function<bool(const instance_name&)>& is_listed);

    /// @return the last reported delay, weighted by its age; zero if none is known
    duration delay_of(const instance_name& owner, time_point now) const;

    /// @return the part of a group's requests that its second owner is to run, from 0 to
    /// @ref max_second_share
    /// @param objective the latency objective of the route; zero for none
    static double second_share(duration first_delay, duration second_delay, duration objective);

    /// @brief Decides whether the second owner runs the next request for a group. The decisions follow the
    /// share by error diffusion: after n requests at an equal share, their number differs from share times n
    /// by less than one.
    /// @param self the deciding entry. Entries begin at different phases, so that they do not all turn to the
    /// second owner with the same request.
    bool is_turn_of_second(const instance_name& self, const instance_name& first, const instance_name& second,
                           double share, time_point now);

    /// @return the reports with the longest weighted delays, longest first; without those that have no weight
    std::vector<delay_report> longest(std::size_t count, time_point now) const;

    /// @brief Removes reports and phases that are older than @ref max_age.
    void remove_expired(time_point now);

    /// @return the number of owners and pairs of owners with state
    std::size_t size() const noexcept
    {
        return m_reports.size() + m_phases.size();
    }

  private:
    /// The sum of the second owner's shares since its last turn.
    struct phase
    {
        double sum = 0.0;
        time_point used_at;
    };

    using owner_pair = std::pair<instance_name, instance_name>;

    std::map<instance_name, delay_report> m_reports;
    std::map<owner_pair, phase> m_phases;
    time_point m_cleaned_at{};
};

} // namespace flaxtiller
