#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller::dispatch
{

/// @brief The share of a backend server's recent attempts that failed, by refusal or by a lost connection.
///
/// The rate is an exponentially weighted moving average that also decays with time, so that a backend server
/// that receives no attempts because of its failures is eventually tried again.
class failure_rate
{
  public:
    /// @brief Adds the outcome of an attempt.
    /// @param half_life the time in which the rate halves if no attempts end
    void add_outcome(bool failed, time_point now, duration half_life) noexcept
    {
        m_rate = at(now, half_life);
        m_rate += ((failed ? 1.0 : 0.0) - m_rate) * newest_weight;
        m_updated_at = now;
    }

    /// @return the rate at @a now, between 0 and 1
    double at(time_point now, duration half_life) const noexcept
    {
        return m_rate * std::exp2(-std::max((now - m_updated_at).ms(), 0.0) / half_life.ms());
    }

  private:
    /// About ten attempts have an effect: enough to distinguish a few lost answers from a backend server that
    /// refuses half of its attempts.
    static constexpr double newest_weight = 0.15;

    double m_rate = 0.0;
    time_point m_updated_at{};
};

} // namespace flaxtiller::dispatch
