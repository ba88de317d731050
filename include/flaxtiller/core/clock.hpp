#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <chrono>
#include <concepts>

namespace flaxtiller
{

/// @brief What a shell may use as its source of time. Decisions never read a clock; they are told the time.
template <typename Clock>
concept clock_source = requires(const Clock& clock)
{
    // clang-format off
    { clock.now() } -> std::same_as<time_point>;
    // clang-format on
};

/// @brief The machine's monotonic clock.
class monotonic_clock
{
  public:
    /// @return the present moment; never goes back, also when the wall clock is set
    time_point now() const noexcept
    {
        const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
        const auto us = std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
        return time_point(duration::from_us(us));
    }
};

/// @brief A clock that stands still until it is moved; for tests, replay and benchmarks.
class manual_clock
{
  public:
    time_point now() const noexcept
    {
        return m_now;
    }

    /// @brief Moves the clock forward by @a span.
    void advance(duration span) noexcept
    {
        m_now = m_now + span;
    }

  private:
    time_point m_now{};
};

static_assert(clock_source<monotonic_clock>);
static_assert(clock_source<manual_clock>);

} // namespace flaxtiller
