#include <flaxtiller/dispatch/reported_load.hpp>

#include <algorithm>
#include <cmath>

namespace flaxtiller::dispatch
{

namespace
{

/// The least weight of a sample. About 40 samples have an effect, so that the trust in random reports stays
/// near zero.
constexpr double min_sample_weight = 0.05;
/// The trust in reports that were not compared with latencies yet.
constexpr double initial_trust = 0.5;
/// The variance of imaginary samples with the initial trust, in squared multiples of the usual latency. Their
/// effect is halved by about 14 samples.
constexpr double initial_variance = 0.1;
/// A ratio of latency to predicted wait below this counts as none, as false reports show a small one by
/// chance.
constexpr double least_trust = 0.45;
/// A latency counts as at most this multiple of the usual one, so that a single straggler does not decide.
constexpr double max_observed = 4.0;
/// A report lowers the expected latency to no less than this share of the average.
constexpr double least_share_of_average = 0.25;

} // namespace

void reported_load::add_report(const load_report& report, int own_attempts, time_point now) noexcept
{
    if (m_reported_at && now - *m_reported_at > max_silence)
    {
        *this = reported_load{};
    }
    m_report = report;
    m_others = std::max(report.running + report.waiting - own_attempts, 0);
    m_reported_at = now;
}

void reported_load::add_latency(duration predicted, duration observed, duration work) noexcept
{
    if (work <= duration{})
    {
        return;
    }
    const double x = std::min(predicted.ms() / work.ms(), max_observed);
    const double y = std::min(observed.ms() / work.ms(), max_observed);
    ++m_samples;
    const double weight = std::max(min_sample_weight, 1.0 / m_samples);
    const double dx = x - m_mean_predicted;
    const double dy = y - m_mean_observed;
    m_mean_predicted += dx * weight;
    m_mean_observed += dy * weight;
    m_variance = (1.0 - weight) * (m_variance + weight * dx * dx);
    m_covariance = (1.0 - weight) * (m_covariance + weight * dx * dy);
}

double reported_load::weight(time_point now) const noexcept
{
    const auto known = age(now);
    return known ? 1.0 - known->ms() / max_age.ms() : 0.0;
}

std::optional<duration> reported_load::age(time_point now) const noexcept
{
    if (!m_reported_at || now - *m_reported_at >= max_age)
    {
        return std::nullopt;
    }
    return std::max(now - *m_reported_at, duration{});
}

duration reported_load::predicted_wait(int own_attempts, duration work, time_point now) const noexcept
{
    const double ahead = m_others + own_attempts;
    const double turns = std::max(ahead + 1.0 - m_report.slots, 0.0) / m_report.slots;
    const double longer = m_report.slowdown - 1.0;
    return work * (weight(now) * (turns * m_report.slowdown + longer));
}

duration reported_load::expected_wait(int own_attempts, duration work, time_point now) const noexcept
{
    return std::max(predicted_wait(own_attempts, work, now) * trust(), duration{});
}

duration reported_load::expected_latency(duration average, int own_attempts, duration work,
                                         time_point now) const noexcept
{
    const duration usual = work * (m_mean_predicted * weight(now));
    const duration difference = predicted_wait(own_attempts, work, now) - usual;
    return std::max(average + difference * trust(), average * least_share_of_average);
}

double reported_load::trust() const noexcept
{
    const double imaginary = initial_variance * std::pow(1.0 - min_sample_weight, m_samples);
    const double slope = (m_covariance + imaginary * initial_trust) / (m_variance + imaginary);
    return slope < least_trust ? 0.0 : std::min(slope, 1.0);
}

} // namespace flaxtiller::dispatch
