#pragma once

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/dispatch/action.hpp>
#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/dispatch/latency_estimator.hpp>
#include <flaxtiller/dispatch/owner_choice.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>
#include <flaxtiller/dispatch/server_state.hpp>
#include <flaxtiller/dispatch/token_budget.hpp>

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
/// It never starts more attempts on a backend server than that has slots, and queues the rest by deadline. An
/// attempt that is late against what was observed is hedged where a slot is free, and otherwise cancelled and
/// replaced in the slot that this frees. Deterministic: feed it events with the present time and carry out
/// the actions that it returns. Cost per event doesn't depend on how many backend servers there are.
class scheduler
{
  public:
    explicit scheduler(scheduler_options options = {});

    // ------------------------------------------------------------------ events

    /// @brief Takes over the service's shards and backend servers; what was observed is kept by name.
    /// @param candidates how many instances may own the service; bounds the connections of each
    void configure(const placed_service& placed, int candidates, time_point now);

    /// @brief Tells the regions of the availability zones, and which region is this instance's: of two
    /// backend servers about as fast, a near one is preferred. Holds from the next @ref configure on.
    void set_places(shared_value<std::map<std::string, std::string>> region_of_zone, std::string own_region);

    /// @brief Changes how many extra attempts may pile up, and how many come with time, whatever is finished.
    void limit_budget(double burst, double per_ms = 0.0);

    /// @brief A backend server is cold until then: it gets no more than this share from this instance. One
    /// that isn't known yet is so from the start.
    void limit_cold(const backend_server_name& server, time_point until, const warmup_share& share,
                    time_point now);

    /// @brief A subquery to run.
    void submit(const subquery& wanted, time_point now);

    /// @brief An attempt ended.
    void on_result(attempt_id attempt, const attempt_result& result, time_point now);

    /// @brief Nobody waits for this subquery any more: it is dropped, or stopped if it runs.
    void abandon(subquery_id id, time_point now);

    /// @brief Nobody waits for this subquery any more: it gets no further attempt, and those that run may
    /// end.
    void detach(subquery_id id);

    /// @brief Starts no further attempt of it until it is released; those that run go on.
    void hold(subquery_id id);

    /// @brief Starts one attempt of a subquery that is held.
    void try_once(subquery_id id, time_point now);

    /// @brief Goes on with a subquery that was held.
    void release(subquery_id id, time_point now);

    /// @brief The platform's list tells whether a backend server is leaving.
    void set_leaving(const backend_server_name& server, bool leaving, time_point now);

    /// @brief Time has passed.
    void on_time(time_point now);

    // ------------------------------------------------------------------ results

    /// @return what must be done now, in this order
    std::vector<action> take_actions();

    /// @return when @ref on_time is next needed
    time_point next_time() const noexcept;

    // ------------------------------------------------------------------ inspection

    /// @return whether it is held and nothing of it runs or is about to
    bool is_held_back(subquery_id id) const;

    /// @return how long a new subquery of this shard would wait for a slot
    duration estimated_wait(int shard) const;

    /// @return why a new subquery of this shard can't be run at all now, or @ref missing_reason::none
    /// @param regions see @ref subquery::regions
    /// @param retry_after set to when that ends, as far as it is known
    missing_reason why_unavailable(int shard, const std::shared_ptr<const region_set>& regions,
                                   time_point now, duration& retry_after) const;

    /// @return after how long an attempt now counts as late, on a backend server without a tail of its own
    duration late_after_now() const;

    /// @return the median latency of the service's attempts; zero while none was observed
    duration median_latency() const noexcept;

    /// @return the versions that the shard's backend servers are known to hold, sorted
    std::vector<index_version> held_versions(int shard) const;

    /// @return the share of its recent attempts that a backend server refused or lost, as it counts now
    double failure_rate_of(const backend_server_name& server, time_point now) const;

    /// @return the state of each backend server, by name
    std::vector<const server_state*> servers() const;

    /// @return subqueries that wait for a slot
    std::size_t queued() const noexcept;

    /// @return whether nothing waits, for a slot or anything else, and nothing runs
    bool is_idle() const noexcept;

    /// @return attempts that were started and haven't ended
    std::size_t running() const noexcept;

    /// @return attempts started since the beginning
    std::uint64_t attempts_started() const noexcept;

    /// @return subqueries finished since the beginning
    std::uint64_t finished() const noexcept;

    /// @return extra attempts that may be started now
    double budget() const noexcept;

    /// @return whether there is budget for one
    bool has_budget() const noexcept;

  private:
    using server_index = std::size_t;

    enum class timer_kind
    {
        late,
        cancel_bound,
        deadline,
        /// A parked subquery may be tried again.
        unpark,
        /// A backend server that was full or ejected may be tried again.
        server_back,
    };

    struct timer
    {
        time_point at;
        timer_kind kind = timer_kind::late;
        std::uint64_t id = 0;

        auto operator<=>(const timer&) const = default;
    };

    struct attempt
    {
        subquery_id subquery = 0;
        server_index server = 0;
        /// See @ref server_state::life.
        int life = 0;
        time_point started_at;
        /// See @ref subquery::size.
        double size = 1.0;
        /// Whether @ref started_at is an estimate: it waits at the backend server for a slot.
        bool ahead = false;
        bool cancelling = false;
        /// Whether it counts in its backend server's late attempts.
        bool is_late = false;
        /// When its timer for being late was last set to go off.
        time_point late_timer_at = time_point::never();
        time_point cancelled_at;
    };

    struct work
    {
        subquery wanted;
        std::vector<attempt_id> running;
        int attempts = 0;
        bool queued = false;
        time_point queue_key;
        /// Waits for a moment rather than a slot.
        bool parked = false;
        duration park_for{};
        /// Started no further, but for one attempt where @ref may_try is set.
        bool held = false;
        bool may_try = false;
        /// An attempt may have begun, so that it is no longer certain that nothing was run.
        bool maybe_run = false;
        missing_reason last_reason = missing_reason::late;
        duration retry_after{};
        /// The backend server beside the designated one that it was sent to.
        std::optional<server_index> other;
        /// Backend servers that refused or failed it since it last waited.
        std::vector<server_index> tried;
    };

    struct cold_limit
    {
        time_point until;
        warmup_share share;
    };

    struct shard_state
    {
        std::vector<server_index> replicas;
        /// Waiting subqueries: replacements first, then by deadline.
        std::set<std::pair<time_point, subquery_id>> queue;
    };

    // Choice of a backend server.
    bool eligible(const server_state& server, const work& item, time_point now) const;
    bool is_allowed(const server_state& server, const work& item) const;
    static bool is_in_region(const server_state& server, const work& item);
    bool may_have_come_back(const server_state& server, const work& item, time_point now) const;
    bool usable(const server_state& server, time_point now) const;
    static bool is_cold_without_share(const server_state& server, time_point now);
    void pay_cold(server_state& server, server_index index, time_point now);
    void apply_cold(server_state& server, server_index index, time_point now);
    duration cold_wait(const work& item, time_point now) const;
    connection_share own_share(const server_state& server) const;
    int slots_of(const server_state& server) const;
    bool has_slot(const server_state& server, time_point now) const;
    double failing(const server_state& server, time_point now) const;
    duration expected_latency(const server_state& server, time_point now) const;
    duration late_after(const server_state& server) const;
    duration late_after(const attempt& begun) const;
    bool is_stuck(const server_state& server) const noexcept;
    bool pay(time_point now);
    bool prefer(server_index candidate, server_index over, time_point now) const;
    bool can_pay_again() const noexcept;
    bool was_tried(server_index index, const work& item) const;
    bool has_room_ahead(const server_state& server, time_point now) const;
    std::optional<server_index> free_server(const work& item, time_point now,
                                            std::optional<server_index> avoid = std::nullopt) const;
    std::optional<server_index> server_ahead(const work& item, time_point now) const;
    bool better_to_wait(server_index candidate, const work& item, time_point now) const;

    // The queue.
    void enqueue(work& item, time_point key, time_point now);
    void unqueue(work& item);
    void run_queue_of(int shard, time_point now);
    void drop_hopeless(int shard, time_point now);
    void run_queues_at(server_index index, time_point now);
    bool start_first_for(server_index index, time_point now);
    void start(work& item, server_index index, time_point now, bool ahead = false);
    void slot_got_free(server_state& server, time_point now);

    // Late and cancelled attempts.
    void on_late(attempt_id id, time_point now);
    bool all_late(const work& item, time_point now) const;
    void cancel(attempt_id id, time_point now);
    void on_cancel_bound(attempt_id id, time_point now);

    // Ends.
    void on_deadline(subquery_id id, time_point now);
    void on_answer(work& item, const attempt_result& result, time_point now);
    void on_failure(work& item, server_index index, const attempt_result& result, time_point now);
    bool has_attempts_left(const work& item) const;
    bool try_elsewhere(work& item, const attempt_result& result, time_point now);
    void observe(server_state& server, const attempt& ended, const attempt_result& result, time_point now);
    void observe_latency(server_state& server, const attempt& ended, bool answered, time_point now);
    bool runs_on_for_observation(attempt_id loser, time_point now);
    void observe_failure(server_index index, time_point now);
    void give_up(work& item, missing_reason reason, time_point now);
    void finish(subquery_id id, subquery_result result, time_point now);
    missing_reason why_not_runnable(const work& item, time_point now, duration& retry_after) const;

    server_index take_server_index(const backend_server_name& name);
    void arm(time_point at, timer_kind kind, std::uint64_t id);
    void arm_late(attempt_id id, const work& item, time_point at);
    bool is_known_shard(int shard) const noexcept;

    scheduler_options m_options;
    token_budget m_budget;
    int m_candidates = 1;
    shared_value<std::map<std::string, std::string>> m_region_of_zone;
    std::string m_own_region;
    std::deque<server_state> m_servers;
    std::map<backend_server_name, server_index> m_server_index;
    std::map<backend_server_name, cold_limit> m_cold;
    std::vector<shard_state> m_shards;
    std::unordered_map<subquery_id, work> m_work;
    std::unordered_map<attempt_id, attempt> m_attempts;
    std::set<timer> m_timers;
    latency_estimator m_latency;
    double m_mean_hold_ms = 0.0;
    std::vector<action> m_actions;
    attempt_id m_next_attempt = 1;
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_late_losers = 0;
    std::size_t m_queued = 0;
};

} // namespace flaxtiller::dispatch
