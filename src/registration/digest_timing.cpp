#include <flaxtiller/registration/digest_timing.hpp>

#include <algorithm>

namespace flaxtiller
{

digest_timing digest_timing_within(const distribution::change_bounds& bounds) noexcept
{
    // A lag, the time until the next report and the list itself take less than the agreed time together.
    constexpr double lag_share = 0.25;
    constexpr double resend_share = 0.5;
    digest_timing timing;
    if (bounds.drain == duration{})
    {
        return timing;
    }
    timing.max_lag = std::min(timing.max_lag, bounds.drain * lag_share);
    timing.mismatch = std::min(timing.mismatch, bounds.drain * lag_share);
    timing.resend_after = std::min(timing.resend_after, bounds.drain * resend_share);
    timing.max_pause = timing.max_lag * 0.5;
    return timing;
}

} // namespace flaxtiller
