#pragma once

#include <flaxtiller/core/duration.hpp>

#include <boost/histogram.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief Estimates, from recent latencies, the median and the age from which an attempt is overdue, so that
/// replacing it is expected to be faster than waiting.
///
/// A cancelled attempt is a censored sample: its latency is only known to exceed its age at the cancel. The
/// survival curve is therefore the Kaplan-Meier estimate. The weights of all samples are halved regularly, so
/// that old latencies lose their influence.
class latency_estimator
{
  public:
    /// The default number of samples after which the weights of older samples are halved.
    static constexpr double default_memory = 4000.0;

    explicit latency_estimator(double memory = default_memory);

    /// @brief Sets the conditions under which an attempt is overdue; both must hold.
    /// @param quantile the share of attempts that end earlier than an overdue one
    /// @param gain the least ratio of the expected remaining time to the expected latency of a new attempt
    void set_overdue_rule(double quantile, double gain);

    /// @brief Adds the latency of an attempt that was answered.
    ///
    /// Takes constant time, except for a recomputation of the estimates every few samples.
    void add_answered(duration latency);

    /// @brief Adds an attempt that was cancelled at the given age.
    void add_censored(duration age);

    /// @return the median of the recent latencies; zero before the first sample
    duration median() const noexcept;

    /// @return the age from which an attempt is overdue; @ref never where waiting is always better
    duration overdue_after() const noexcept;

    /// @return the number of samples added since construction
    std::size_t samples() const noexcept;

    /// @return a duration that exceeds every latency
    static constexpr duration never() noexcept
    {
        return duration::from_ms(3600000);
    }

  private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using bins = boost::histogram::histogram<std::tuple<axis>, boost::histogram::dense_storage<float>>;

    static bins make_bins();

    void added();
    void recompute();

    bins m_answered = make_bins();
    bins m_censored = make_bins();
    double m_memory;
    double m_quantile = 0.97;
    double m_gain = 1.5;
    double m_weight = 0.0;
    std::size_t m_samples = 0;
    duration m_median{};
    duration m_overdue_after = never();
};

} // namespace flaxtiller::dispatch
