#pragma once

#include <flaxtiller/core/time_point.hpp>

#include <concepts>
#include <ctime>

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

/// @brief The machine's monotonic clock. It goes on while the machine is suspended, as the leases and
/// deadlines that other machines count do; the standard library's steady clock stands still then.
class monotonic_clock
{
  public:
    /// @return the present moment; never goes back, also when the wall clock is set
    time_point now() const noexcept
    {
        constexpr std::int64_t us_per_s = 1000000;
        constexpr std::int64_t ns_per_us = 1000;
        timespec since_boot{};
        // It fails for no clock that the kernel has.
        (void)::clock_gettime(CLOCK_BOOTTIME, &since_boot);
        return time_point(duration::from_us(since_boot.tv_sec * us_per_s + since_boot.tv_nsec / ns_per_us));
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
