#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller
{

/// @brief A moving average of the time by which this process is late in handling what is due, because its
/// processor is busy.
class processing_delay
{
  public:
    /// The weight of an observation. Several late observations in a row are needed for a high average, as a
    /// process that was suspended is very late once.
    static constexpr double weight = 0.2;
    /// A higher delay counts as this one.
    static constexpr duration max_counted = duration::from_ms(250);
    /// The time in which the average halves without an observation.
    static constexpr duration half_life = duration::from_ms(500);

    /// @brief Takes in that something was handled @a late after it was due.
    void observe(duration late, time_point now)
    {
        const duration counted = std::clamp(late, duration{}, max_counted);
        const duration average = at(now);
        m_average = average + (counted - average) * weight;
        m_observed_at = now;
    }

    /// @return the average delay at the time @a now
    duration at(time_point now) const
    {
        const double halvings = std::max((now - m_observed_at).ms(), 0.0) / half_life.ms();
        return m_average * std::exp2(-halvings);
    }

  private:
    duration m_average{};
    time_point m_observed_at{};
};

} // namespace flaxtiller
