#pragma once

#include <flaxtiller/core/duration.hpp>

#include <boost/histogram.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief Quantiles of recent latencies, from a histogram with logarithmic bins that forgets by halves.
class latency_estimator
{
  public:
    latency_estimator();

    /// @brief Takes in one latency. O(1), but for a recomputation every few samples.
    void add(duration latency);

    /// @return the median of the recent latencies; zero before the first
    duration median() const noexcept;

    /// @return the quantile set by @ref track
    duration tail() const noexcept;

    /// @brief Chooses the quantile that @ref tail gives.
    void track(double quantile);

    /// @return how many latencies were taken in, ever
    std::size_t samples() const noexcept;

  private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<float>;

    duration quantile(double share) const;
    void recompute();

    boost::histogram::histogram<std::tuple<axis>, storage> m_bins;
    double m_tail_share = 0.97;
    double m_weight = 0.0;
    std::size_t m_samples = 0;
    duration m_median{};
    duration m_tail{};
};

} // namespace flaxtiller::dispatch
