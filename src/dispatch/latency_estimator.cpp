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
/// The expected latency of a new attempt, as a multiple of the median.
constexpr double fresh_ratio = 1.2;
/// Where all attempts older than some age were cancelled, their expected remaining time is this multiple of
/// the age.
constexpr double censored_tail_ratio = 1.0;

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

void latency_estimator::set_overdue_rule(double quantile, double gain)
{
    m_quantile = quantile;
    m_gain = gain;
}

void latency_estimator::add_answered(duration latency)
{
    m_answered(std::clamp(latency.ms(), lowest_ms, highest_ms * 0.999));
    added();
}

void latency_estimator::add_censored(duration age)
{
    m_censored(std::clamp(age.ms(), lowest_ms, highest_ms * 0.999));
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
        m_censored *= half;
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
    // Computed once, as each edge takes an exponential and all estimators have the same edges.
    static const std::array<double, bin_count + 1> edge = edges_of(m_answered.axis(0));
    double at_risk = m_weight;
    int last = 0;
    survival[0] = 1.0;
    for (int bin = 0; bin < bin_count; ++bin)
    {
        const auto index = static_cast<std::size_t>(bin);
        const double answered = m_answered.at(bin);
        const double stopped = m_censored.at(bin);
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
    // Compares, from the highest age down, the expected remaining time with the expected latency of a new
    // attempt.
    const auto end = static_cast<std::size_t>(last);
    const double fresh = m_median.ms() * fresh_ratio * m_gain;
    double rest = survival[end] * edge[end] * censored_tail_ratio;
    double overdue_after = never().ms();
    for (std::size_t i = end; i > 0; --i)
    {
        const bool late_enough = survival[i] <= 1.0 - m_quantile;
        if (late_enough && survival[i] > 0.0 && rest / survival[i] >= fresh)
        {
            overdue_after = edge[i];
        }
        rest += (survival[i - 1] + survival[i]) * half * (edge[i] - edge[i - 1]);
    }
    m_overdue_after = duration::from_ms(overdue_after);
}

duration latency_estimator::median() const noexcept
{
    return m_median;
}

duration latency_estimator::overdue_after() const noexcept
{
    return m_overdue_after;
}

std::size_t latency_estimator::samples() const noexcept
{
    return m_samples;
}

} // namespace flaxtiller::dispatch
