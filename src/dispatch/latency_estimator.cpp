#include <flaxtiller/dispatch/latency_estimator.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

namespace
{

constexpr unsigned bin_count = 96;
constexpr double lowest_ms = 0.1;
constexpr double highest_ms = 20000.0;
/// The histogram halves whenever it holds this many latencies.
constexpr double memory = 2000.0;
constexpr std::size_t early_samples = 64;
constexpr std::size_t recompute_every = 16;

} // namespace

latency_estimator::latency_estimator()
    : m_bins(std::make_tuple(axis(bin_count, lowest_ms, highest_ms)), storage())
{
}

void latency_estimator::track(double quantile)
{
    m_tail_share = quantile;
}

void latency_estimator::add(duration latency)
{
    m_bins(std::clamp(latency.ms(), lowest_ms, highest_ms * 0.999));
    m_weight += 1.0;
    ++m_samples;
    if (m_weight >= memory)
    {
        m_bins *= 0.5F;
        m_weight *= 0.5;
    }
    if (m_samples < early_samples || m_samples % recompute_every == 0)
    {
        recompute();
    }
}

void latency_estimator::recompute()
{
    constexpr double half = 0.5;
    m_median = quantile(half);
    m_tail = quantile(m_tail_share);
}

duration latency_estimator::quantile(double share) const
{
    const double wanted = m_weight * share;
    double passed = 0.0;
    for (int bin = 0; bin < static_cast<int>(bin_count); ++bin)
    {
        const double here = m_bins.at(bin);
        if (here > 0.0 && passed + here >= wanted)
        {
            const auto edges = m_bins.axis(0).bin(bin);
            const double within = std::clamp((wanted - passed) / here, 0.0, 1.0);
            return duration::from_ms(edges.lower() + (edges.upper() - edges.lower()) * within);
        }
        passed += here;
    }
    return duration::from_ms(highest_ms);
}

duration latency_estimator::median() const noexcept
{
    return m_median;
}

duration latency_estimator::tail() const noexcept
{
    return m_tail;
}

std::size_t latency_estimator::samples() const noexcept
{
    return m_samples;
}

} // namespace flaxtiller::dispatch
