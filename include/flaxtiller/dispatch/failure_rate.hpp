#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller::dispatch
{

/// @brief The share of a backend server's recent attempts that it refused or lost: a moving average that
/// fades with time, so that one that isn't asked any more is tried again after a while.
class failure_rate
{
  public:
    /// @brief An attempt ended.
    /// @param half_life after this long without attempts the rate has halved
    void note(bool failed, time_point now, duration half_life) noexcept
    {
        m_rate = at(now, half_life);
        m_rate += ((failed ? 1.0 : 0.0) - m_rate) * newest_weight;
        m_noted_at = now;
    }

    /// @return the rate now, between 0 and 1
    double at(time_point now, duration half_life) const noexcept
    {
        return m_rate * std::exp2(-std::max((now - m_noted_at).ms(), 0.0) / half_life.ms());
    }

  private:
    /// Some ten attempts count: enough to tell a few lost answers from a backend server that refuses half.
    static constexpr double newest_weight = 0.15;

    double m_rate = 0.0;
    time_point m_noted_at{};
};

} // namespace flaxtiller::dispatch
