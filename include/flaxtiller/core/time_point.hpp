#pragma once

#include <flaxtiller/core/duration.hpp>

#include <limits>

namespace flaxtiller
{

/// @brief A moment on a monotonic clock, in milliseconds since that clock's own start.
///
/// Moments of different processes are not comparable; messages carry spans, never moments.
class time_point
{
  public:
    constexpr time_point() noexcept = default;

    /// @brief The moment that lies @a since_start after the clock's start.
    explicit constexpr time_point(duration since_start) noexcept : m_since_start(since_start)
    {
    }

    /// @return a moment later than every other, for "no deadline"
    static constexpr time_point never() noexcept
    {
        return time_point(duration::from_us(std::numeric_limits<std::int64_t>::max()));
    }

    /// @return the span since the clock's start
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
