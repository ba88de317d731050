#include <flaxtiller/dispatch/latency_estimator.hpp>

#include <algorithm>
#include <array>

namespace flaxtiller::dispatch
{

namespace
{

constexpr int bin_count = 240;
constexpr double lowest_ms = 0.1;
constexpr double highest_ms = 20000.0;
constexpr std::size_t early_samples = 64;
constexpr std::size_t recompute_every = 32;
/// A fresh attempt takes the median and a little more.
constexpr double fresh_ratio = 1.2;
/// Where everything still at risk was stopped, it is assumed to last as long again.
constexpr double unknown_rest_ratio = 1.0;

template <typename Axis>
std::array<double, bin_count + 1> edges_of(const Axis& axis)
{
    std::array<double, bin_count + 1> edge{};
    for (int bin = 0; bin < bin_count; ++bin)
    {
        edge[static_cast<std::size_t>(bin) + 1] = axis.bin(bin).upper();
    }
    return edge;
}

} // namespace

latency_estimator::bins latency_estimator::make_bins()
{
    return {std::make_tuple(axis(bin_count, lowest_ms, highest_ms)),
            boost::histogram::dense_storage<float>()};
}

latency_estimator::latency_estimator(double memory) : m_memory(memory)
{
}

void latency_estimator::track(double quantile, double gain)
{
    m_quantile = quantile;
    m_gain = gain;
}

void latency_estimator::add_answered(duration latency)
{
    m_answered(std::clamp(latency.ms(), lowest_ms, highest_ms * 0.999));
    added();
}

void latency_estimator::add_stopped(duration age)
{
    m_stopped(std::clamp(age.ms(), lowest_ms, highest_ms * 0.999));
    added();
}

void latency_estimator::added()
{
    m_weight += 1.0;
    ++m_samples;
    if (m_weight >= m_memory)
    {
        constexpr float half = 0.5F;
        m_answered *= half;
        m_stopped *= half;
        m_weight *= half;
    }
    if (m_samples < early_samples || m_samples % recompute_every == 0)
    {
        recompute();
    }
}

void latency_estimator::recompute()
{
    constexpr double half = 0.5;
    std::array<double, bin_count + 1> survival{};
    // The same for all; each takes an exponential to work out.
    static const std::array<double, bin_count + 1> edge = edges_of(m_answered.axis(0));
    double at_risk = m_weight;
    int last = 0;
    survival[0] = 1.0;
    for (int bin = 0; bin < bin_count; ++bin)
    {
        const auto index = static_cast<std::size_t>(bin);
        const double answered = m_answered.at(bin);
        const double stopped = m_stopped.at(bin);
        const double ended = at_risk > 0.0 ? std::min(answered / at_risk, 1.0) : 0.0;
        survival[index + 1] = survival[index] * (1.0 - ended);
        at_risk -= answered + stopped;
        last = answered + stopped > 0.0 ? bin + 1 : last;
        if (survival[index] > half && survival[index + 1] <= half)
        {
            const double within = (survival[index] - half) / (survival[index] - survival[index + 1]);
            m_median = duration::from_ms(edge[index] + (edge[index + 1] - edge[index]) * within);
        }
    }
    // From the end: the expected rest at each age, against what a fresh attempt would take.
    const auto end = static_cast<std::size_t>(last);
    const double fresh = m_median.ms() * fresh_ratio * m_gain;
    double rest = survival[end] * edge[end] * unknown_rest_ratio;
    double late_after = never().ms();
    for (std::size_t i = end; i > 0; --i)
    {
        const bool late_enough = survival[i] <= 1.0 - m_quantile;
        if (late_enough && survival[i] > 0.0 && rest / survival[i] >= fresh)
        {
            late_after = edge[i];
        }
        rest += (survival[i - 1] + survival[i]) * half * (edge[i] - edge[i - 1]);
    }
    m_late_after = duration::from_ms(late_after);
}

duration latency_estimator::median() const noexcept
{
    return m_median;
}

duration latency_estimator::late_after() const noexcept
{
    return m_late_after;
}

std::size_t latency_estimator::samples() const noexcept
{
    return m_samples;
}

} // namespace flaxtiller::dispatch
