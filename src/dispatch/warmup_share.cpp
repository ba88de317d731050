#include <flaxtiller/dispatch/warmup_share.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller::dispatch
{

namespace
{

/// Share of the bound that nobody sends. Two instances that each take the other's place for a moment, while
/// one of four senders is replaced, overspend by a quarter.
constexpr double kept_back = 0.3;

} // namespace

warmup_share warmup_share_of(const warmup_bound& bound, std::size_t senders, std::size_t rank) noexcept
{
    const double in_a_second = (bound.requests_per_s * bound.overage + bound.slack) * (1.0 - kept_back);
    const double steady = std::min(bound.requests_per_s * (1.0 - kept_back), in_a_second - 1.0);
    if (steady <= 0.0 || senders == 0)
    {
        return {};
    }
    const auto whole = static_cast<std::size_t>(std::floor(in_a_second - steady));
    const std::size_t holders = std::min(senders, whole);
    if (rank >= holders)
    {
        return {};
    }
    const auto sharing = static_cast<double>(holders);
    return {steady / sharing, (in_a_second - steady) / sharing};
}

} // namespace flaxtiller::dispatch
