#pragma once

#include <cmath>
#include <compare>
#include <cstdint>

namespace flaxtiller
{

/// @brief A duration, stored as an integral number of microseconds, so that sums are exact and a replay gives
/// the same result on every instance.
class duration
{
  public:
    constexpr duration() noexcept = default;

    /// @brief Creates a duration from milliseconds, rounded to microseconds.
    static constexpr duration from_ms(double milliseconds) noexcept
    {
        return duration(static_cast<std::int64_t>(milliseconds * 1000.0 + (milliseconds < 0 ? -0.5 : 0.5)));
    }

    /// @brief Creates a duration from microseconds.
    static constexpr duration from_us(std::int64_t microseconds) noexcept
    {
        return duration(microseconds);
    }

    /// @return the duration in milliseconds, with its fraction
    constexpr double ms() const noexcept
    {
        return static_cast<double>(m_us) / 1000.0;
    }

    /// @return the duration in microseconds
    constexpr std::int64_t us() const noexcept
    {
        return m_us;
    }

    constexpr auto operator<=>(const duration&) const noexcept = default;

    friend constexpr duration operator+(duration a, duration b) noexcept
    {
        return duration(a.m_us + b.m_us);
    }
    friend constexpr duration operator-(duration a, duration b) noexcept
    {
        return duration(a.m_us - b.m_us);
    }
    friend constexpr duration operator*(duration a, double factor) noexcept
    {
        return from_ms(a.ms() * factor);
    }

  private:
    explicit constexpr duration(std::int64_t us) noexcept : m_us(us)
    {
    }

    std::int64_t m_us = 0;
};

inline namespace literals
{
/// @brief A duration literal: `5_ms` are five milliseconds.
constexpr duration operator""_ms(unsigned long long milliseconds) noexcept
{
    return duration::from_us(static_cast<std::int64_t>(milliseconds) * 1000);
}
constexpr duration operator""_ms(long double milliseconds) noexcept
{
    return duration::from_ms(static_cast<double>(milliseconds));
}
} // namespace literals

} // namespace flaxtiller
