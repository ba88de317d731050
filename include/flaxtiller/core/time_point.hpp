#pragma once

#include <flaxtiller/core/duration.hpp>

#include <limits>

namespace flaxtiller
{

/// @brief A point in time on a monotonic clock, as the duration since the start of this clock.
///
/// Time points of different processes are not comparable, so that messages hold durations and no time points.
class time_point
{
  public:
    constexpr time_point() noexcept = default;

    /// @brief Creates the time point @a since_start after the start of the clock.
    explicit constexpr time_point(duration since_start) noexcept : m_since_start(since_start)
    {
    }

    /// @return a time point later than every other, which represents an absent deadline
    static constexpr time_point never() noexcept
    {
        return time_point(duration::from_us(std::numeric_limits<std::int64_t>::max()));
    }

    /// @return the duration since the start of the clock
    constexpr duration since_start() const noexcept
    {
        return m_since_start;
    }

    constexpr auto operator<=>(const time_point&) const noexcept = default;

    friend constexpr time_point operator+(time_point t, duration d) noexcept
    {
        return time_point(t.m_since_start + d);
    }
    friend constexpr time_point operator-(time_point t, duration d) noexcept
    {
        return time_point(t.m_since_start - d);
    }
    friend constexpr duration operator-(time_point a, time_point b) noexcept
    {
        return a.m_since_start - b.m_since_start;
    }

  private:
    duration m_since_start{};
};

} // namespace flaxtiller
