#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief What can be turned in a @ref router.
struct router_options
{
    dispatch::scheduler_options scheduling = usual_scheduling();
    /// A fan-out answers with what is in once this share of the objective has passed: the rest is the way
    /// to and from the caller, counted from the caller's own start.
    double objective_share = 0.85;
    /// Kept back from the objective and from the caller's patience for the way back.
    duration response_margin = duration::from_ms(5);
    /// Requests under way; one more is refused.
    std::size_t max_open_requests = 2000;
    /// When a caller that was refused for want of a backend server or of room shall come back, at least.
    duration min_retry_after = duration::from_ms(100);
    /// The same where no backend server is registered: heartbeats come about every second.
    duration registration_retry = duration::from_ms(500);

    /// What the way to and from another entry is taken to cost before it was measured: two regions apart, and
    /// within one region on a busy instance.
    duration initial_round_trip_far = duration::from_ms(30);
    duration initial_round_trip_near = duration::from_ms(8);
    /// An entry that runs shards for another one tells what is in after this share of the time that it has:
    /// late enough that most have all by then, early enough to try another entry within the objective.
    double progress_share = 0.4;
    /// Where nothing was heard this long after that was due, the shards are run elsewhere: a busy entry's
    /// delay.
    duration progress_grace = duration::from_ms(12);
    /// Past the objective, that is looked at once more after this long: less than what is left to most
    /// deadlines.
    duration silence_recheck_delay = duration::from_ms(40);

    /// After a backend server crashed under a request, this passes before a suspect one is tried: what the
    /// same cause takes down goes within it, and a trial beside it would prove nothing.
    duration trial_pause = duration::from_ms(100);

    /// What operators allow over all instances in a window of time, for each service: so many attempts beyond
    /// the first for each request, and so many more.
    double retry_ratio = 0.1;
    double retry_slack = 20.0;
    /// The span of time for which the slack is.
    duration retry_window = duration::from_ms(10000);
    /// Of that, this share is spent. The rest is for views that differ and instances that come and go.
    double retry_share = 0.9;
    /// Where shards have owners, this share of the allowance is theirs; the rest is for entries that run
    /// shards because no owner can.
    double owner_budget_share = 0.7;

    /// In any one second a cold backend server may get this many times what its service says, and so many
    /// requests more, from all instances together.
    double warmup_overage = 1.0;
    double warmup_slack = 0.0;

    bool operator==(const router_options&) const = default;

  private:
    static dispatch::scheduler_options usual_scheduling() noexcept
    {
        dispatch::scheduler_options options;
        // An entry sends a backend server a few attempts a second, so that some ten of them count.
        options.failure_half_life = duration::from_ms(2000);
        return options;
    }
};

} // namespace flaxtiller
