#pragma once

#include <flaxtiller/core/clock.hpp>

#include <chrono>

namespace flaxtiller::shell
{

/// @brief Notices that the machine was suspended: timers don't count that time, and go off too late by it.
class suspension_watch
{
  public:
    /// @return for how long the machine was suspended since the last call; zero if it wasn't
    duration since_last()
    {
        const duration ahead = ahead_of_timers();
        const duration grown = ahead - m_ahead;
        m_ahead = ahead;
        return grown >= least_suspension ? grown : duration{};
    }

  private:
    /// The two clocks are read one after the other.
    static constexpr duration least_suspension = duration::from_ms(50);

    duration ahead_of_timers() const
    {
        const auto steady = std::chrono::steady_clock::now().time_since_epoch();
        const auto us = std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
        return m_clock.now().since_start() - duration::from_us(us);
    }

    monotonic_clock m_clock;
    duration m_ahead = ahead_of_timers();
};

} // namespace flaxtiller::shell
