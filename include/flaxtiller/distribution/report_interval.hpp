#pragma once

#include <flaxtiller/core/duration.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

/// @brief The interval at which each instance reports to the leader.
///
/// The interval grows with the number of instances, so that the number of reports per second is bounded.
/// Timeouts that depend on the reports are scaled with the interval.
class report_interval
{
  public:
    /// The maximum rate of the reports of all instances. A report takes a few hundred microseconds, so that
    /// they use a few percent of a core.
    static constexpr double max_reports_per_s = 250.0;
    /// The interval for a small number of instances.
    static constexpr duration min_interval = duration::from_ms(1000);

    explicit report_interval(int instances) noexcept
        : m_every(std::max(min_interval, duration::from_ms(1000.0 / max_reports_per_s * instances)))
    {
    }

    /// @return the time between two reports of an instance
    duration every() const noexcept
    {
        return m_every;
    }

    /// @return a timeout that is @a bound at the interval @ref min_interval, scaled to this interval
    duration scaled(duration bound) const noexcept
    {
        return bound * (m_every.ms() / min_interval.ms());
    }

  private:
    duration m_every;
};

} // namespace flaxtiller::distribution
