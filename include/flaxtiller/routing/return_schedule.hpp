#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstddef>
#include <cstdint>

namespace flaxtiller
{

/// @brief Assigns to refused requests the times at which their callers may return.
///
/// Successive refused requests get successive times, at a part of the rate at which the entry answers
/// requests. Deterministic.
class return_schedule
{
  public:
    /// The part of the answer rate at which refused requests return. The rest is for other callers.
    static constexpr double return_share = 0.6;
    /// The averaging time of the answer rate, and the time in which the greatest rate seen loses half of its
    /// weight. An entry that had little to do before an overload still knows its rate from earlier.
    static constexpr duration rate_window = duration::from_ms(1000);
    static constexpr duration rate_half_life = duration::from_ms(10000);
    /// The rate that is assumed before an answer was sent, and the smallest rate.
    static constexpr double initial_rate_per_s = 20.0;
    static constexpr double min_rate_per_s = 1.0;
    /// The wait of a less urgent request is longer by this part for each more urgent priority, up to a number
    /// of priorities.
    static constexpr double wait_per_priority = 0.25;
    static constexpr std::size_t max_priorities = 3;
    /// The latest time that is assigned, relative to the earliest one. Under a lasting overload, the times of
    /// callers that do not wait so long would grow without bound.
    static constexpr duration max_spread = duration::from_ms(30000);

    /// @param min_wait the shortest wait that is assigned
    explicit return_schedule(duration min_wait);

    /// @brief Takes in the number of requests that were answered since the last call.
    void note_answers(std::size_t count, time_point now);

    /// @brief Assigns the next time.
    /// @param more_urgent the number of priorities that are more urgent
    /// @param earliest the time until the request can be served for another reason; zero if unknown
    /// @param longest the time that the caller waits before it returns. If there is no capacity until then,
    /// the true time is assigned; as the caller won't return then, it doesn't delay the times of others.
    /// @return the time until the caller may return
    duration next_wait(std::size_t more_urgent, duration earliest, duration longest, time_point now);

    /// @return the answer rate that the times follow, per second
    double rate_per_s(time_point now) const;

  private:
    duration m_min_wait;
    /// The moving average of the answer rate, and its greatest recent value.
    double m_rate_per_s = 0.0;
    double m_greatest_rate_per_s = 0.0;
    time_point m_noted_at{};
    /// The next free time for a caller that returns, and for one that probably doesn't.
    time_point m_next{};
    time_point m_next_beyond{};
    std::uint64_t m_assigned = 0;
};

} // namespace flaxtiller
