#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>
#include <flaxtiller/routing/load_options.hpp>

#include <cstddef>
#include <cstdint>

namespace flaxtiller
{

/// @brief Settings of a @ref router.
struct router_options
{
    dispatch::scheduler_options scheduling = usual_scheduling();
    /// A fan-out is answered with the received parts once this share of the objective has passed. The rest is
    /// for the round trip to the caller, who measures from the start of its own request.
    double objective_share = 0.85;
    /// Subtracted from the objective and from the caller's time-out, for the transfer of the answer.
    duration response_margin = duration::from_ms(5);
    /// The greatest number of open requests; further ones are refused.
    std::size_t max_open_requests = 2000;
    /// The smallest retry delay sent to a caller that is refused because no backend server or no capacity is
    /// available.
    duration min_retry_after = duration::from_ms(100);
    /// The same if no backend server is registered; backend servers send heartbeats about every second.
    duration registration_retry = duration::from_ms(500);

    /// The assumed round trip to another entry before one was measured: in another region, and in the same
    /// region with a busy instance.
    duration initial_round_trip_far = duration::from_ms(30);
    duration initial_round_trip_near = duration::from_ms(8);
    /// A peer that runs delegated shards sends its first partial outcome after this share of its time: late
    /// enough that most peers have all parts by then, early enough to try another entry within the objective.
    double progress_share = 0.4;
    /// If nothing was received this long after the partial outcome was due, the shards are reassigned. The
    /// time allows for the delay of a busy entry.
    duration progress_grace = duration::from_ms(12);
    /// The check for silent peers is repeated once, this long after the objective: less than the time left
    /// until most deadlines.
    duration silence_recheck_delay = duration::from_ms(40);

    /// The time between the last crash and the next trial attempt of a suspect request. Other backend servers
    /// that fail from the same cause do so within this time, and a trial during it would prove nothing.
    duration trial_pause = duration::from_ms(100);

    /// The retry budget of each service over all instances and per window of time: this ratio of further
    /// attempts to requests, plus a fixed slack.
    double retry_ratio = 0.1;
    double retry_slack = 20.0;
    /// The window of time in which the slack may be spent.
    duration retry_window = duration::from_ms(10000);
    /// The share of the retry budget that is spent. The rest allows for instances that start or stop and for
    /// instances with different views.
    double retry_share = 0.9;
    /// If shards have owners, this share of the retry budget belongs to the owners. The rest is for entries
    /// that run shards because no owner is available.
    double owner_budget_share = 0.7;

    /// In any second, all instances together may send a cold (recently started) backend server this multiple
    /// of its service's warm-up rate, plus a fixed slack.
    double warmup_overage = 1.0;
    double warmup_slack = 0.0;

    /// The first number of delegations to other entries and of reports to the rate limit coordinator. A
    /// process draws it at random: an answer to an earlier run of the process must fit no number of this run.
    std::uint64_t first_number = 1;

    /// The decisions under load that are switched on.
    load_options load{};

    bool operator==(const router_options&) const = default;

  private:
    static dispatch::scheduler_options usual_scheduling() noexcept
    {
        dispatch::scheduler_options options;
        // An entry sends a backend server a few attempts per second, so about ten of them have weight.
        options.failure_half_life = duration::from_ms(2000);
        return options;
    }
};

} // namespace flaxtiller
