#pragma once

#include <flaxtiller/core/duration.hpp>

namespace flaxtiller::dispatch
{

/// @brief The options of a @ref scheduler. docs/design/0002-dispatch.md gives the measurements behind the
/// defaults.
struct scheduler_options
{
    /// The share of attempts that end earlier than an attempt that counts as overdue.
    double overdue_quantile = 0.965;
    /// The least ratio of the expected remaining time of an overdue attempt to the expected latency of a new
    /// attempt.
    double overdue_gain = 1.5;
    /// One in this number of overdue attempts that were overtaken by a hedge is not cancelled, so that the
    /// latencies of overdue attempts remain known.
    int loser_sampling_interval = 16;
    /// The number of extra attempts, beyond the first of each subquery, as a share of the finished
    /// subqueries.
    double extra_load_share = 0.045;
    /// The maximum number of unspent extra attempts.
    double budget_burst = 20.0;
    /// The number of pipelined attempts per backend server. A pipelined attempt is sent while all slots of
    /// the backend server are in use, so that a freed slot is not idle for a round trip. Backend servers that
    /// shed get none.
    int max_pipelined = 1;
    /// The time for which a backend server gets no pipelined attempts after it shed an attempt.
    duration pipelining_pause_after_shed = duration::from_ms(30000);
    /// The maximum number of attempts of one subquery.
    int most_attempts = 4;
    /// The least age at which an attempt can be overdue.
    duration min_overdue_after = duration::from_ms(1);
    /// The age at which an attempt is overdue before enough latencies have been observed.
    duration initial_overdue_after = duration::from_ms(50);
    /// Whether the remaining attempts of a finished subquery are cancelled. Where a cancel costs a new
    /// connection, it is cheaper to let them end.
    bool cancel_losers = true;
    /// Whether all instances send to each backend server, rather than only the instances that own it.
    bool direct = false;
    /// Whether the latencies of the backend server itself determine when its attempts are overdue, once
    /// enough are known and where they give a lower limit than the service's latencies. An attempt on a
    /// nearby replica is overdue long before one on a distant replica.
    bool overdue_by_server = false;
    /// Whether a retry after a refusal spends from the budget of extra attempts, too.
    bool charge_refusals = false;
    /// Whether refused (shed) attempts do not count toward @ref subquery::most_attempts, which then bounds
    /// the attempts that may have run and the different backend servers. All attempts that were sent count
    /// toward @ref most_attempts.
    bool retries_refused = false;
    /// Whether a backend server all of whose attempts are overdue is chosen last, as the whole server is
    /// probably stalled.
    bool avoid_stalled = false;
    /// Whether the load that backend servers report is a criterion for the choice between them.
    bool reads_server_load = false;
    /// A cancel that is not confirmed within this time counts as failed.
    duration cancel_confirmation_timeout = duration::from_ms(10);
    /// The number of consecutive failed cancels after which overdue attempts on a backend server are no
    /// longer cancelled and replaced.
    int cancel_failures = 3;
    /// The time for which replacing is then paused.
    duration cancel_pause = duration::from_ms(10000);
    /// The number of consecutive failures after which a backend server is ejected, that is, excluded for a
    /// time that doubles with each further ejection.
    int eject_after = 3;
    duration min_ejection = duration::from_ms(500);
    duration max_ejection = duration::from_ms(30000);
    /// A backend server that reported to be leaving is tried again after this time, since it may have come
    /// back. The time exceeds the duration of a drain.
    duration retry_leaving_after = duration::from_ms(30000);
    /// The same where all backend servers of the shard reported to be leaving.
    duration retry_leaving_after_if_alone = duration::from_ms(2000);
    /// A backend server without an observation for this time is expected to be as fast as the service's
    /// median.
    duration observation_age = duration::from_ms(5000);
    /// The time in which the failure rate of a backend server halves. It should cover a few attempts, so that
    /// a recovered backend server is soon used again and a failing one is rarely tried. Zero ignores the
    /// rate.
    duration failure_half_life{};
    /// The ratio of two latencies above which a backend server counts as slower than another.
    double slower_ratio = 1.5;
    /// Whether waiting subqueries are ordered by objective, priority and team rather than by deadline alone;
    /// see @ref work_queue.
    bool orders_by_priority = false;

    bool operator==(const scheduler_options&) const = default;
};

} // namespace flaxtiller::dispatch
