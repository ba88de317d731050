#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <map>

namespace flaxtiller
{

/// @brief Bounds the number of open requests of an entry by the delay with which its process handles what is
/// due.
///
/// The bound falls by a factor while the delay is more than the shortest objective tolerates, and rises by a
/// constant otherwise; while the process is idle it doubles. Less urgent requests, and requests that are
/// expected to be late, are refused at a lower count. Deterministic.
class open_request_limit
{
  public:
    /// The bound never falls below this number of requests, so that the entry continues to serve, and
    /// to observe its delay.
    static constexpr std::size_t min_bound = 2;
    /// The requests of own callers that are admitted even if delegated requests alone exceed the bound.
    static constexpr std::size_t min_own_requests = 1;
    /// The share of the shortest objective that one delay may take. A request passes the process about four
    /// times (arrival, delegation, result and answer); this leaves half of the objective to the servers.
    static constexpr double tolerated_share = 0.125;
    /// The bound changes at most this often. The average of the delay follows a change within this time at
    /// about ten timers.
    static constexpr duration interval = duration::from_ms(100);
    static constexpr double decrease_factor = 0.8;
    static constexpr double increase_per_interval = 1.0;
    static constexpr double idle_increase_factor = 2.0;
    /// With a delay below this share of the tolerated one, or with at most this number of open requests, the
    /// process counts as idle.
    static constexpr double idle_delay_share = 0.1;
    static constexpr std::size_t idle_open_requests = 1;
    /// A delay that fell to less than this share within an interval is the remainder of an earlier one, such
    /// as that of a suspension. Without further observations it falls to 0.87.
    static constexpr double falling_share = 0.9;
    /// Each more urgent priority lowers the share of the bound that a request may use, down to a minimum.
    static constexpr double share_per_priority = 0.15;
    static constexpr double min_priority_share = 0.55;
    /// Requests that are expected to be late may use this part of the share. The product is below the
    /// minimum for requests that are on time.
    static constexpr double late_part = 0.5;
    /// No priority is admitted at less than this share of the rate at which all requests are admitted: the
    /// quarter that is required, and a margin for requests that are admitted but not served.
    static constexpr double min_admitted_share = 0.3;
    /// The time in which the counts of arrived and admitted requests halve.
    static constexpr duration count_half_life = duration::from_ms(2000);
    /// A priority with fewer counted arrivals and no open requests is forgotten.
    static constexpr double forgotten_arrivals = 0.05;

    /// @brief What is known of the requests of one priority.
    struct priority_state
    {
        /// The recent requests of own callers that arrived and that were admitted; halved regularly.
        double arrived = 0.0;
        double admitted = 0.0;
        /// The open requests, including delegated ones.
        std::size_t open = 0;
        /// The numbers of requests that were refused and admitted since the state was created.
        std::uint64_t total_refused = 0;
        std::uint64_t total_admitted = 0;
    };

    /// @param max_open the greatest bound
    explicit open_request_limit(std::size_t max_open);

    /// @brief Sets the shortest objective of all routes. Without one (zero), the bound stays at its maximum.
    void set_shortest_objective(duration objective);

    /// @brief Adapts the bound to the delay at the time @a now.
    void update(duration delay, time_point now);

    /// @brief Decides on a request of an own caller, and counts it as arrived.
    /// @param late whether the request is expected to be answered after its objective
    bool admits(int priority, bool late);

    /// @brief Counts a request as open. Delegated requests count, but are not decided on.
    void on_open(int priority, bool delegated);

    /// @brief Counts a request as no longer open.
    void on_end(int priority, bool delegated);

    /// @return the present bound on open requests
    std::size_t bound() const noexcept;

    /// @return the number of open requests, including delegated ones
    std::size_t open() const noexcept
    {
        return m_open;
    }

    /// @return the number of priorities with recent requests that are more urgent
    std::size_t more_urgent_priorities(int priority) const;

    /// @return the state by priority
    const std::map<int, priority_state>& priorities() const noexcept
    {
        return m_priorities;
    }

  private:
    void adapt(duration delay, int intervals);
    void decay_counts(duration elapsed);
    double share_of(int priority, bool late) const;
    bool is_below_min_share(const priority_state& item) const;

    double m_max;
    double m_bound;
    duration m_tolerated{};
    duration m_last_delay{};
    bool m_was_late = false;
    time_point m_updated_at{};
    std::size_t m_open = 0;
    std::size_t m_own_open = 0;
    std::map<int, priority_state> m_priorities;
};

} // namespace flaxtiller
