#include <flaxtiller/dispatch/warmup_share.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller::dispatch
{

namespace
{

/// The share of the bound that is not given to any instance. While one of four senders is being replaced, two
/// instances may both use its share, which exceeds the sum of all shares by a quarter.
constexpr double reserved_share = 0.3;

} // namespace

warmup_share warmup_share_of(const warmup_bound& bound, std::size_t senders, std::size_t rank) noexcept
{
    const double in_a_second = (bound.requests_per_s * bound.overage + bound.slack) * (1.0 - reserved_share);
    const double steady = std::min(bound.requests_per_s * (1.0 - reserved_share), in_a_second - 1.0);
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
