#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/dispatch/load_report.hpp>

#include <optional>

namespace flaxtiller::dispatch
{

/// @brief The expected wait at one backend server, from its load reports and this instance's own attempts.
///
/// A report contributes the work of other senders; it loses weight with age. Own attempts count as they are
/// now, so those started since the report raise the expected wait. The reports are trusted as far as the
/// observed latencies rise and fall with the waits that they predicted.
class reported_load
{
  public:
    /// The age at which a report has no weight. A queue of a few requests has changed entirely by then.
    static constexpr duration max_age = duration::from_ms(1000);
    /// What was learned about a backend server is discarded if no report arrives for this time.
    static constexpr duration max_silence = duration::from_ms(60000);

    /// @brief Records a report.
    /// @param own_attempts the attempts of this instance that the backend server has not answered
    void add_report(const load_report& report, int own_attempts, time_point now) noexcept;

    /// @brief Compares the wait that was predicted when an attempt was started with its latency.
    /// @param work the usual latency of an attempt, as the scale of the differences
    void add_latency(duration predicted, duration observed, duration work) noexcept;

    /// @return the weight of the last report, between 0 and 1
    double weight(time_point now) const noexcept;

    /// @return the age of the last report, or nothing if there is none with a weight
    std::optional<duration> age(time_point now) const noexcept;

    /// @return the time that an attempt would take in addition to @a work, according to the report
    /// @param own_attempts the attempts of this instance that the backend server has not answered
    duration predicted_wait(int own_attempts, duration work, time_point now) const noexcept;

    /// @return the predicted wait, as far as the reports are trusted
    duration expected_wait(int own_attempts, duration work, time_point now) const noexcept;

    /// @return the expected latency of an attempt
    /// @param average the average latency of recent attempts on this backend server, which includes the waits
    /// that these had
    duration expected_latency(duration average, int own_attempts, duration work,
                              time_point now) const noexcept;

    /// @return the share of a predicted wait that is expected to occur, between 0 and 1
    double trust() const noexcept;

  private:
    load_report m_report;
    /// The requests of other senders at the time of the report.
    int m_others = 0;
    std::optional<time_point> m_reported_at;

    /// The averages of the predicted waits and of the latencies, in multiples of the usual latency, and their
    /// variance and covariance.
    int m_samples = 0;
    double m_mean_predicted = 0.0;
    double m_mean_observed = 0.0;
    double m_variance = 0.0;
    double m_covariance = 0.0;
};

} // namespace flaxtiller::dispatch
