#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <concepts>
#include <ctime>

namespace flaxtiller
{

/// @brief A source of the current time. Only the input and output layer reads a clock; the decision logic
/// receives the current time as an argument.
template <typename Clock>
concept clock_source = requires(const Clock& clock)
{
    // clang-format off
    { clock.now() } -> std::same_as<time_point>;
    // clang-format on
};

/// @brief The monotonic clock of the operating system. The clock advances while the instance is suspended, as
/// do the leases and deadlines that other instances measure; `std::chrono::steady_clock` stops during a
/// suspension.
class monotonic_clock
{
  public:
    /// @return the current time; never decreases, even if the wall clock is set
    time_point now() const noexcept
    {
        constexpr std::int64_t us_per_s = 1000000;
        constexpr std::int64_t ns_per_us = 1000;
        timespec since_boot{};
        // The call only fails for a clock that the kernel does not support.
        (void)::clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(duration::from_us(since_boot.tv_sec * us_per_s + since_boot.tv_nsec / ns_per_us));
    }
};

/// @brief A clock that only advances on request; for tests, replay and benchmarks.
class manual_clock
{
  public:
    time_point now() const noexcept
    {
        return m_now;
    }

    /// @brief Advances the clock by @a span.
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
