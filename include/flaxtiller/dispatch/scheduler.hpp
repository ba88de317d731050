#pragma once

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/dispatch/action.hpp>
#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/dispatch/latency_estimator.hpp>
#include <flaxtiller/dispatch/owner_choice.hpp>
#include <flaxtiller/dispatch/report_ages.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>
#include <flaxtiller/dispatch/sent_attempts.hpp>
#include <flaxtiller/dispatch/server_state.hpp>
#include <flaxtiller/dispatch/token_budget.hpp>
#include <flaxtiller/dispatch/work_queue.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flaxtiller::dispatch
{

/// @brief Runs the subqueries of one service on the backend servers that this instance owns.
///
/// The scheduler starts at most as many attempts on a backend server as the server has slots, plus a
/// pipelined attempt, and queues the other subqueries; see @ref work_queue. An attempt is overdue when,
/// according to the observed latencies, a new attempt is expected to be faster. An overdue attempt is hedged
/// by a second attempt where another backend server has a free slot. Otherwise it is cancelled, and its
/// replacement is first in the queue.
///
/// The class is a deterministic state machine without I/O: its caller passes events with the current time to
/// it and performs the actions that @ref take_actions returns. The cost of an event does not depend on the
/// number of backend servers.
class scheduler
{
  public:
    explicit scheduler(scheduler_options options = {});

    // ------------------------------------------------------------------ events

    /// @brief Sets the service's shards and backend servers. Observations of backend servers are kept by
    /// name.
    /// @param candidates the number of instances that may own the service, among which the connections are
    /// divided
    void configure(const placed_service& placed, int candidates, time_point now);

    /// @brief Sets the regions of the availability zones and the region of this instance.
    ///
    /// Of two backend servers with similar latencies, one in this instance's region is preferred. The change
    /// takes effect with the next call of @ref configure.
    void set_regions(shared_value<std::map<std::string, std::string>> region_of_zone, std::string own_region);

    /// @brief Limits the budget of extra attempts.
    /// @param burst the maximum number of unspent extra attempts
    /// @param per_ms the extra attempts granted per millisecond, in addition to those per finished subquery
    void limit_budget(double burst, double per_ms = 0.0);

    /// @brief Limits the requests to a cold backend server until the time @a until.
    ///
    /// The limit also applies to a backend server that a later call of @ref configure adds.
    void set_warmup_limit(const backend_server_name& server, time_point until, const warmup_share& share,
                          time_point now);

    /// @brief Adds a subquery to run.
    void submit(const subquery& spec, time_point now);

    /// @brief Processes the result of an attempt.
    void on_result(attempt_id attempt, const attempt_result& result, time_point now);

    /// @brief Handles that an attempt was not sent, since its subquery is no longer needed or can't be run as
    /// it was planned. The attempt's slot is free again, and nothing is learned of the backend server.
    void on_not_sent(attempt_id id, time_point now);

    /// @brief Removes a subquery whose result is no longer needed, and cancels its running attempts.
    void abandon(subquery_id id, time_point now);

    /// @brief Removes a subquery whose result is no longer needed, but lets its running attempts end.
    void detach(subquery_id id);

    /// @brief Starts no further attempt of a subquery until it is released. Running attempts continue.
    void hold(subquery_id id);

    /// @brief Starts one attempt of a subquery that is on hold.
    void start_one_attempt(subquery_id id, time_point now);

    /// @brief Resumes a subquery that was on hold.
    void release(subquery_id id, time_point now);

    /// @brief Changes the priority of a subquery, which may wait. An unknown subquery is ignored.
    void set_priority(subquery_id id, int priority, time_point now);

    /// @brief Ends a subquery that has no running attempt, with the given reason.
    /// @return whether the subquery was ended
    bool refuse_waiting(subquery_id id, missing_reason reason, time_point now);

    /// @brief Sets whether the platform's list marks a backend server as leaving.
    void set_leaving(const backend_server_name& server, bool leaving, time_point now);

    /// @brief Processes the timers that are due.
    void on_time(time_point now);

    // ------------------------------------------------------------------ results

    /// @brief Returns and removes the actions that the caller must perform, in this order.
    std::vector<action> take_actions();

    /// @return the time at which @ref on_time must next be called
    time_point next_time() const noexcept;

    // ------------------------------------------------------------------ inspection

    /// @return whether a subquery is on hold and neither running nor queued
    bool is_idle_on_hold(subquery_id id) const;

    /// @return the time that a new subquery of a shard is expected to wait for a slot
    ///
    /// By priority, this is the time until the work that waits and can meet its objective is served.
    duration estimated_wait(int shard) const;

    /// @return the time that a new subquery of a priority is expected to wait if all waiting work of this
    /// priority is served before it. By deadline order, the same for all priorities.
    duration estimated_wait(int shard, int priority) const;

    /// @return the time that a new subquery of a priority and team is expected to wait, if the teams received
    /// equal service before. By deadline order, the same for all.
    duration estimated_wait(int shard, int priority, const team_name& team) const;

    /// @return the time that a new subquery that can no longer meet its objective is expected to wait
    duration estimated_wait_if_late(int shard) const;

    /// @brief Adds the numbers of subqueries that wait for a slot, by priority and team.
    void add_waiting_work(waiting_counts& into) const;

    /// @return the same with the wait for the requests of other senders, as reported by the backend servers
    duration estimated_wait(int shard, time_point now) const;

    /// @return the ages of the load reports of the service's backend servers
    report_ages ages_of_reports(time_point now) const;

    /// @return the reason for which a new subquery of a shard cannot be run now, or @ref missing_reason::none
    /// @param regions see @ref subquery::regions
    /// @param retry_after set to the time after which the subquery can be run, where that is known
    missing_reason unavailable_reason(int shard, const std::shared_ptr<const region_set>& regions,
                                      time_point now, duration& retry_after) const;

    /// @return the age at which an attempt is overdue, according to the latencies of the whole service
    duration service_overdue_after() const;

    /// @return the median latency of the service's attempts; zero before the first observation
    duration median_latency() const noexcept;

    /// @return the index versions that the shard's backend servers reported to hold, sorted
    std::vector<index_version> held_versions(int shard) const;

    /// @return the share of a backend server's recent attempts that failed, as used for the choice of servers
    double failure_rate_of(const backend_server_name& server, time_point now) const;

    /// @return the states of the backend servers, sorted by name
    std::vector<const server_state*> servers() const;

    /// @return the number of subqueries that wait for a slot
    std::size_t queued() const noexcept;

    /// @return whether there are no unfinished subqueries and no running attempts
    bool is_idle() const noexcept;

    /// @return the number of attempts that were started and have not ended
    std::size_t running() const noexcept;

    /// @return the number of attempts started since construction
    std::uint64_t attempts_started() const noexcept;

    /// @return the number of subqueries finished since construction
    std::uint64_t finished() const noexcept;

    /// @return the number of extra attempts that may be started now
    double budget() const noexcept;

    /// @return whether the budget allows an extra attempt
    bool has_budget() const noexcept;

  private:
    using server_index = std::size_t;

    enum class timer_kind
    {
        overdue,
        cancel_confirmation_timeout,
        deadline,
        /// The backoff of a subquery is over.
        backoff_over,
        /// A backend server that was busy, ejected or limited by its warm-up may be tried again.
        server_available,
    };

    /// @brief A timer of an attempt, a subquery or a backend server, depending on its kind.
    struct timer
    {
        time_point at;
        timer_kind kind = timer_kind::overdue;
        std::uint64_t id = 0;

        auto operator<=>(const timer&) const = default;
    };

    /// @brief An attempt that has not ended.
    struct attempt
    {
        subquery_id subquery = 0;
        server_index server = 0;
        /// See @ref server_state::run_number.
        int run_number = 0;
        time_point started_at;
        /// See @ref subquery::size.
        double size = 1.0;
        /// The wait at the backend server that its load report predicted, if it had one with a weight.
        std::optional<duration> predicted_wait;
        /// Whether the attempt waits at the backend server for a slot, so that @ref started_at is an
        /// estimate.
        bool pipelined = false;
        bool cancelling = false;
        /// Whether the attempt is counted in @ref server_state::overdue_in_use.
        bool is_overdue = false;
        /// The time for which the timer of the kind @ref timer_kind::overdue was last set.
        time_point overdue_timer_at = time_point::never();
        time_point cancelled_at;
    };

    /// @brief A subquery that is not finished.
    struct pending_subquery
    {
        subquery spec;
        std::vector<attempt_id> running;
        time_point submitted_at;
        int attempts = 0;
        bool queued = false;
        /// Whether the subquery waits for the time @ref backoff, rather than for a slot.
        bool backing_off = false;
        duration backoff{};
        /// Whether the subquery is on hold, so that no attempt is started, except for one where @ref
        /// one_attempt_allowed is set.
        bool held = false;
        bool one_attempt_allowed = false;
        /// Whether a backend server may have run an attempt.
        bool maybe_run = false;
        missing_reason last_reason = missing_reason::late;
        duration retry_after{};
        /// The backend server, other than the designated one, to which the subquery was sent.
        std::optional<server_index> second_server;
        /// The backend servers on which an attempt failed since the last backoff.
        std::vector<server_index> failed_servers;
        /// Recorded only for scheduler_options::retries_refused.
        sent_attempts sent;
    };

    /// @brief The limit of the requests to a cold backend server.
    struct warmup_limit
    {
        time_point until;
        warmup_share share;
    };

    /// @brief The backend servers and the queue of one shard.
    struct shard_state
    {
        std::vector<server_index> replicas;
        work_queue queue;
        /// The least latency of an attempt since one was last not answered by its deadline, normalized by
        /// size. Unlike the median, one attempt renews it.
        std::optional<duration> fastest_answer{};
        /// When an attempt that the estimates give no chance may be started next.
        time_point next_probe_at{};
    };

    // Choice of a backend server.
    bool is_eligible(const server_state& server, const pending_subquery& item, time_point now) const;
    bool is_allowed(const server_state& server, const pending_subquery& item) const;
    static bool is_in_region(const server_state& server, const pending_subquery& item);
    bool may_have_come_back(const server_state& server, const pending_subquery& item, time_point now) const;
    bool is_usable(const server_state& server, time_point now) const;
    static bool is_cold_without_share(const server_state& server, time_point now);
    void spend_warmup_token(server_state& server, server_index index, time_point now);
    void apply_warmup_limit(server_state& server, server_index index, time_point now);
    duration warmup_wait(const pending_subquery& item, time_point now) const;
    connection_share own_share(const server_state& server) const;
    int slots_of(const server_state& server) const;
    bool has_slot(const server_state& server, time_point now) const;
    double current_failure_rate(const server_state& server, time_point now) const;
    duration expected_latency(const server_state& server, time_point now) const;
    bool has_reported_load(const server_state& server, time_point now) const;
    duration with_reported_load(const server_state& server, duration average, time_point now) const;
    std::optional<duration> predicted_wait(const server_state& server, time_point now) const;
    duration overdue_after(const server_state& server) const;
    duration overdue_after(const attempt& begun) const;
    bool is_stalled(const server_state& server) const noexcept;
    bool spend_budget(time_point now);
    bool is_preferred(server_index candidate, server_index over, time_point now) const;
    bool can_afford_retry() const noexcept;
    bool was_tried(server_index index, const pending_subquery& item) const;
    bool can_pipeline(const server_state& server, time_point now) const;
    std::optional<server_index> free_server(const pending_subquery& item, time_point now,
                                            std::optional<server_index> avoid = std::nullopt) const;
    std::optional<server_index> pipelining_server(const pending_subquery& item, time_point now) const;
    bool is_waiting_faster(server_index candidate, const pending_subquery& item, time_point now) const;

    // The queue.
    void enqueue(pending_subquery& item, time_point now, bool is_replacement = false);
    waiting_subquery waiting_entry_of(const subquery& spec) const;
    duration wait_behind(const shard_state& shard, double cost) const;
    duration expected_wait_of(const subquery& spec, time_point now) const;
    duration reported_wait(int shard, time_point now) const;
    void remove_from_queue(pending_subquery& item);
    void run_queue_of(int shard, time_point now);
    void drop_unservable(int shard, time_point now);
    bool is_worth_trying(const pending_subquery& item, time_point now);
    void run_queues_at(server_index index, time_point now);
    bool start_first_for(server_index index, time_point now);
    void start(pending_subquery& item, server_index index, time_point now, bool pipelined = false);
    void on_slot_freed(server_state& server, time_point now);

    // Overdue and cancelled attempts.
    void on_overdue(attempt_id id, time_point now);
    bool all_overdue(const pending_subquery& item, time_point now) const;
    void cancel(attempt_id id, time_point now);
    void on_cancel_timeout(attempt_id id, time_point now);

    // Results.
    void on_deadline(subquery_id id, time_point now);
    void on_answer(pending_subquery& item, const attempt_result& result, time_point now);
    void on_failure(pending_subquery& item, server_index index, const attempt_result& result, time_point now);
    bool has_attempts_left(const pending_subquery& item) const;
    bool try_elsewhere(pending_subquery& item, const attempt_result& result, time_point now);
    void observe(server_state& server, const attempt& ended, const attempt_result& result, time_point now);
    void observe_latency(server_state& server, const attempt& ended, bool answered, time_point now);
    void note_fastest_answer(const server_state& server, duration latency);
    bool continues_as_sample(attempt_id loser, time_point now);
    void observe_failure(server_index index, time_point now);
    void give_up(pending_subquery& item, missing_reason reason, time_point now);
    void finish(subquery_id id, subquery_result result, time_point now);
    missing_reason blocked_reason(const pending_subquery& item, time_point now, duration& retry_after) const;

    void resize_shards(std::size_t count);
    server_index find_or_add_server(const backend_server_name& name);
    void arm(time_point at, timer_kind kind, std::uint64_t id);
    void arm_overdue_timer(attempt_id id, const pending_subquery& item, time_point at);
    bool is_known_shard(int shard) const noexcept;

    scheduler_options m_options;
    token_budget m_budget;
    int m_candidates = 1;
    shared_value<std::map<std::string, std::string>> m_region_of_zone;
    std::string m_own_region;
    std::deque<server_state> m_servers;
    std::map<backend_server_name, server_index> m_server_index;
    std::map<backend_server_name, warmup_limit> m_cold;
    std::vector<shard_state> m_shards;
    std::unordered_map<subquery_id, pending_subquery> m_pending;
    std::unordered_map<attempt_id, attempt> m_attempts;
    std::set<timer> m_timers;
    latency_estimator m_latency;
    double m_mean_hold_ms = 0.0;
    std::vector<action> m_actions;
    attempt_id m_next_attempt = 1;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_overdue_losers = 0;
    std::size_t m_queued = 0;
};

} // namespace flaxtiller::dispatch
