#pragma once

#include <flaxtiller/core/duration.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

/// @brief How often a leader hears from each of many instances, and how long it believes what it heard.
///
/// All of them together send it no more than a bounded number of reports a second, however many they are.
class report_pace
{
  public:
    /// What a leader takes in of all instances; some hundred microseconds each are a few percent of a core.
    static constexpr double most_reports_per_s = 250.0;
    /// The pace of few instances.
    static constexpr duration shortest = duration::from_ms(1000);

    explicit report_pace(int instances) noexcept
        : m_every(std::max(shortest, duration::from_ms(1000.0 / most_reports_per_s * instances)))
    {
    }

    /// @return the span between two reports of an instance
    duration every() const noexcept
    {
        return m_every;
    }

    /// @return a bound made for the pace of few instances, at this pace
    duration scaled(duration bound) const noexcept
    {
        return bound * (m_every.ms() / shortest.ms());
    }

  private:
    duration m_every;
};

} // namespace flaxtiller::distribution
