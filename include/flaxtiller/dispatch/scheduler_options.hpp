#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller::dispatch
{

/// @brief What can be turned in a @ref scheduler. The defaults are those measured in
/// docs/design/0002-dispatch.md.
struct scheduler_options
{
    /// An attempt isn't late before this share of earlier ones had ended.
    double late_quantile = 0.965;
    /// Nor before its expected remaining time is this many times that of a fresh attempt.
    double late_gain = 1.5;
    /// Of this many late attempts that lost, one runs to its end, so that it is known how long they take.
    int observe_one_of = 16;
    /// Attempts beyond the first that may be started, as a share of the subqueries finished.
    double extra_load_share = 0.045;
    /// Unspent extra attempts that may pile up.
    double budget_burst = 20.0;
    /// Attempts that may wait at a backend server whose slots are all in use, so that a slot that gets free
    /// isn't idle for a round trip. None where the backend server sheds.
    int ahead = 1;
    /// How long after it shed a backend server gets no attempts ahead.
    duration no_ahead_after_shed = duration::from_ms(30000);
    /// Attempts of one subquery.
    int most_attempts = 4;
    /// Late is never earlier than this.
    duration least_late_after = duration::from_ms(1);
    /// Late while nothing has been observed.
    duration first_late_after = duration::from_ms(50);
    /// Whether an attempt that lost is told to stop. Where a cancel costs a new connection, letting it end is
    /// cheaper.
    bool cancel_losers = true;
    /// Whether all instances send to each backend server, rather than its owners only.
    bool direct = false;
    /// Whether a backend server's attempts are late by its own latencies, once it has enough of them, where
    /// these say so earlier than the service's: a near replica is late long before a far one.
    bool late_by_server = false;
    /// Whether a new try after a refusal is paid from the budget of extra attempts, too.
    bool refusals_cost = false;
    /// Whether a backend server all of whose attempts are late comes last: it pauses as a whole.
    bool avoid_stuck = false;
    /// A cancel that isn't confirmed within this long has failed.
    duration cancel_bound = duration::from_ms(10);
    /// Cancels that must fail in a row before late attempts are no longer replaced on that backend server.
    int cancel_failures = 3;
    /// How long replacing then pauses.
    duration cancel_pause = duration::from_ms(10000);
    /// Failures in a row that eject a backend server.
    int eject_after = 3;
    duration eject_first = duration::from_ms(500);
    duration eject_most = duration::from_ms(30000);
    /// A backend server that said it is leaving is asked again after this long, since it may have come back:
    /// longer than a drain takes, unless all that hold the shard said so.
    duration ask_leaving = duration::from_ms(30000);
    duration ask_leaving_alone = duration::from_ms(2000);
    /// A backend server without an observation for this long is tried as if it were as fast as the others.
    duration observation_age = duration::from_ms(5000);
    /// What a backend server refused or lost is half forgotten after this long: some attempts' worth, so that
    /// it is soon used again once it serves, and rarely tried while it doesn't. Zero: it doesn't count.
    duration failure_half_life{};
    /// A backend server counts as slower only beyond this ratio.
    double slower_ratio = 1.5;

    bool operator==(const scheduler_options&) const = default;
};

} // namespace flaxtiller::dispatch
