#pragma once

#include <flaxtiller/core/duration.hpp>

#include <boost/histogram.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief What recent latencies tell: the median, and from which age on an attempt is better replaced.
///
/// Attempts that were stopped tell only that they would have taken longer; the survival curve is estimated
/// after Kaplan and Meier, so that they count as long as they ran. Old latencies are forgotten by halves.
class latency_estimator
{
  public:
    /// Latencies after which older ones count half, by default.
    static constexpr double usual_memory = 4000.0;

    explicit latency_estimator(double memory = usual_memory);

    /// @brief Chooses what counts as late.
    /// @param quantile no attempt is late before this share of attempts has ended
    /// @param gain nor before its expected remaining time is this many times a fresh attempt's
    void track(double quantile, double gain);

    /// @brief Takes in how long an attempt took. O(1), but for a recomputation every few samples.
    void add_answered(duration latency);

    /// @brief Takes in how long an attempt had run when it was stopped.
    void add_stopped(duration age);

    /// @return the median of the recent latencies; zero before the first
    duration median() const noexcept;

    /// @return the age from which on an attempt counts as late; @ref never where waiting is always better
    duration late_after() const noexcept;

    /// @return how many latencies were taken in, ever
    std::size_t samples() const noexcept;

    /// @return longer than any attempt takes
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
    bins m_stopped = make_bins();
    double m_memory;
    double m_quantile = 0.97;
    double m_gain = 1.5;
    double m_weight = 0.0;
    std::size_t m_samples = 0;
    duration m_median{};
    duration m_late_after = never();
};

} // namespace flaxtiller::dispatch
