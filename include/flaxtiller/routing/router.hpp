#pragma once

#include <flaxtiller/dispatch/scheduler.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/routing/absence_rule.hpp>
#include <flaxtiller/routing/completion_margin.hpp>
#include <flaxtiller/routing/group_choice.hpp>
#include <flaxtiller/routing/open_request_limit.hpp>
#include <flaxtiller/routing/processing_delay.hpp>
#include <flaxtiller/routing/return_schedule.hpp>
#include <flaxtiller/routing/route_latencies.hpp>
#include <flaxtiller/routing/router_action.hpp>
#include <flaxtiller/routing/router_options.hpp>
#include <flaxtiller/routing/routing_view.hpp>
#include <flaxtiller/routing/target_choice.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

/// @brief Routes the requests of one entry instance to backend servers.
///
/// The router chooses the route and the target of a request, starts and cancels attempts on backend servers,
/// delegates shards of fan-outs to other entries, merges answers, and decides when to answer. It is
/// deterministic: it reads no clock and starts no I/O. Events go in through its member functions, and
/// @ref take_actions returns the actions to carry out.
///
/// Each service has its own @ref dispatch::scheduler, shared by all routes that name the service.
///
/// A fan-out consists of parts, one for each shard. It is answered when all parts have succeeded. If the
/// answer time (a share of the latency objective) passes before that, it is answered as soon as the parts
/// that succeeded reach the route's least share. The request fails at once when too many parts have failed to
/// reach that share.
class router
{
  public:
    explicit router(router_options options);

    // ------------------------------------------------------------------ events

    /// @brief Takes over a new view: another configuration revision, other backend servers or other entries.
    /// Open requests keep the route with which they began, except that, with
    /// load_options::orders_by_priority, waiting parts take a new priority and are refused if the route or
    /// team is gone.
    void configure(routing_view view, time_point now);

    /// @brief A caller sent a request, or another entry delegated one.
    void arrive(request_number number, std::shared_ptr<const routed_request> request, time_point now);

    /// @brief A caller closed its connection: the request's attempts are cancelled, and no answer is sent.
    void caller_gone(request_number number, time_point now);

    /// @brief Sets until when the active configuration counts as the present one. Later, requests of callers
    /// for which it has no route are refused.
    void set_confirmed_until(time_point until) noexcept
    {
        m_absence.set_confirmed_until(until);
    }

    /// @brief The key of a caller's request was withdrawn. The request is answered as unauthorized unless an
    /// attempt was started or a part was delegated.
    /// @return whether the request was answered
    bool withdraw(request_number number);

    /// @brief The delegating entry no longer awaits the outcome: the router starts no further attempts for
    /// the request and sends no answer. Running attempts are not cancelled.
    void no_longer_awaited(request_number number);

    /// @brief An attempt ended.
    /// @param answer the complete answer, successful or not; null if none was received
    void attempt_ended(routed_attempt_number attempt, const dispatch::attempt_result& result,
                       std::shared_ptr<const backend_answer> answer, time_point now);

    /// @brief Another entry sent the final or a partial outcome of a delegation; see @ref delegate_shards.
    void on_delegation_outcome(const instance_name& peer, delegation_number number,
                               const routed_outcome& outcome, time_point now);

    /// @brief The link to another entry broke: groups delegated to that entry are reassigned at once.
    void on_entry_disconnected(const instance_name& peer, time_point now);

    /// @brief Crash records of other processes were received.
    /// @return the records that were changed, as they are now
    std::vector<crash_record> on_crash_records(const std::vector<crash_record>& records, time_point now);

    /// @brief Handles everything that is due at @a now.
    void on_time(time_point now);

    /// @brief Takes in that this process handled something @a late after it was due.
    void observe_processing_delay(duration late, time_point now)
    {
        m_processing_delay.observe(late, now);
    }

    /// @brief Answers each open request at once, with the received parts, since this instance is stopping.
    void answer_all();

    // ------------------------------------------------------------------ results

    /// @return the actions to carry out now, in this order
    std::vector<router_action> take_actions();

    /// @return the time at which @ref on_time must be called next
    time_point next_time() const noexcept;

    // ------------------------------------------------------------------ inspection

    /// @return the number of requests without a final answer
    std::size_t open_requests() const noexcept;

    /// @return the bound on open requests
    const open_request_limit& open_limit() const noexcept
    {
        return m_open_limit;
    }

    /// @return the schedule of the retry times of refused requests
    const return_schedule& returns() const noexcept
    {
        return m_returns;
    }

    /// @return the part of the objective that estimates leave free
    double completion_margin_share() const noexcept
    {
        return m_completion_margin.share();
    }

    /// @return the delay with which this process handles what is due
    duration delay_at(time_point now) const
    {
        return m_processing_delay.at(now);
    }

    /// @return the other entries that own shards of fan-outs; this instance keeps links to them
    std::set<instance_name> owners_to_link() const;

    /// @return the number of instances that share the connections to the service's backend servers
    int connection_sharers_of(const service_name& service) const;

    /// @return the ages of the load reports of each service's backend servers
    std::map<service_name, dispatch::report_ages> ages_of_load_reports(time_point now) const;

    /// @return the crash records of requests that crash backend servers
    const crash_ledger& crashes() const noexcept
    {
        return m_crashes;
    }

    /// @return the number of times that any service's scheduler was configured
    std::uint64_t schedulers_configured() const noexcept
    {
        return m_schedulers_configured;
    }

    /// @return the delays that owners of shards reported, and their use
    const owner_delays& delays_of_owners() const noexcept
    {
        return m_groups.delays();
    }

    /// @return the numbers of subqueries that wait for a slot, over all services
    dispatch::waiting_counts waiting_work() const;

    /// @return the scheduler of a service, or null if there is none
    const dispatch::scheduler* scheduler_of(const service_name& service) const;

  private:
    using scheduler_index = std::uint64_t;

    /// A service, its scheduler, and the inputs with which the scheduler was configured last.
    struct service_scheduler
    {
        service_name service;
        dispatch::scheduler scheduler;
        /// The inputs of the last configuration; sharers is 0 before the first one.
        shared_value<placed_service> placed{};
        int sharers = 0;
        double slack = 0.0;
        /// The time of the scheduler's entry in @ref m_due.
        time_point due = time_point::never();
    };

    /// The request and part that a subquery belongs to.
    struct subquery_owner
    {
        request_number request = 0;
        /// Position among the request's parts.
        std::size_t part = 0;
    };

    /// The share of a request that goes to one service.
    struct part
    {
        service_name service;
        /// Its position in the route's fan-out.
        std::size_t shard = 0;
        /// The backend server that the delegating entry named; see dispatch::subquery::designated.
        backend_server_name designated;
        /// Whether a partial outcome with this part was sent to the delegating entry.
        bool is_reported = false;
        /// Set when this instance runs the part; a part in a delegated group has no subquery.
        scheduler_index scheduler_id = 0;
        dispatch::subquery_id subquery = 0;
        bool is_finished = false;
        int attempts = 0;
        std::shared_ptr<const backend_answer> answer;

        bool has_succeeded() const
        {
            return is_finished && answer && answer->status / 100 == 2;
        }
    };

    /// A group of shards that one other entry was asked to run.
    struct delegation
    {
        delegation_number number = 0;
        instance_name peer;
        time_point sent_at;
        /// Whether any outcome, partial or final, was received.
        bool has_replied = false;
        bool is_finished = false;
        /// The sum of the outcomes that were received.
        routed_outcome outcome{};
    };

    /// Shards that are delegated to another entry, and to a second entry if the first does not answer.
    struct group
    {
        std::vector<std::size_t> parts;
        /// By part: the backend server named to every entry that runs the group; empty if the route allows as
        /// many attempts as there are replicas.
        std::vector<backend_server_name> designated;
        std::vector<delegation> delegations;
        bool is_finished = false;
        /// The most complete outcome that was received.
        routed_outcome outcome;
        instance_name answered_by;

        /// @return whether any delegation may still receive an outcome
        bool is_awaited() const
        {
            return std::any_of(delegations.begin(), delegations.end(),
                               [](const delegation& sent)
                               {
                                   return !sent.is_finished;
                               });
        }

        /// @return whether the group is unfinished and no outcome was received
        bool is_silent() const
        {
            return !is_finished && std::none_of(delegations.begin(), delegations.end(),
                                                [](const delegation& sent)
                                                {
                                                    return sent.has_replied;
                                                });
        }
    };

    struct open_request
    {
        /// The configuration revision at arrival.
        std::int64_t revision = 0;
        /// The @ref list_id of the route's list of shards.
        std::uint64_t list = 0;
        std::shared_ptr<const routed_request> request;
        std::shared_ptr<const route> matched_route;
        execution_rules rules;
        /// The regions in which the request may run; null for any.
        std::shared_ptr<const region_set> regions;
        time_point arrived_at;
        time_point deadline;
        /// The time from which a fan-out is answered with the received parts.
        time_point answer_at;
        /// The time until which an answer has its full value.
        time_point objective_at = time_point::never();
        /// The priority of the team, or of the route if the team has none; 0 is the most urgent.
        int priority = 0;
        /// Whether the request was admitted with an estimate that it waits, and meets its objective.
        bool waits_within_objective = false;
        /// The time at which silent groups are reassigned.
        time_point group_check_at = time_point::never();
        /// The time at which the next partial outcome is sent to the delegating entry.
        time_point progress_at = time_point::never();
        /// The time of the request's entry in @ref m_timers.
        time_point timer_at;
        std::vector<part> parts;
        std::vector<group> groups;
        /// Shared by the parts that this instance runs; null if these are too few for a comparison.
        std::shared_ptr<dispatch::fan_out_progress> progress{};
        /// The numbers of parts that succeeded and that failed.
        int succeeded = 0;
        int missing = 0;
        int attempts = 0;
        bool may_have_run = false;
        bool past_objective = false;
        /// Whether delegations designate backend servers.
        bool designates_servers = false;
        missing_reason reason = missing_reason::none;
        duration retry_after{};
        /// Computed on first use.
        std::optional<request_fingerprint> fingerprint{};
        /// Whether the parts are held back because the request is suspected of crashing backend servers.
        bool held = false;
        /// The crash record of the request, if backend servers crashed while running it.
        std::vector<crash_record> crashes{};
    };

    /// An attempt that was started and has not ended.
    struct started
    {
        scheduler_index scheduler_id = 0;
        dispatch::attempt_id attempt = 0;
        dispatch::subquery_id subquery = 0;
        request_number request = 0;
        std::shared_ptr<const routed_request> sent;
        std::shared_ptr<const route> matched_route;
        /// The @ref list_id of the route's list of shards.
        std::uint64_t list = 0;
        backend_server_name server;
        time_point since;
        /// Whether this is a trial attempt of a suspect request.
        bool on_trial = false;
    };

    /// A trial attempt: the only attempt that is started for a held request, to test if it crashes its
    /// backend server.
    struct trial
    {
        request_number request = 0;
        dispatch::subquery_id subquery = 0;
    };

    scheduler_index scheduler_index_of(const service_name& service);
    std::vector<part> parts_of(const route& matched_route, const routed_request& request);
    void refuse(request_number number, const route* matched_route, missing_reason reason,
                duration retry_after = {});
    void refuse_quarantined(request_number number, const route& matched_route,
                            const request_fingerprint& fingerprint, time_point now);
    bool refuse_unservable(request_number number, const route& matched_route,
                           const std::shared_ptr<const region_set>& regions, time_point now);
    time_point delay_probe_due() const noexcept;
    void end_delay_probe(time_point now);
    void follow_load(time_point now);
    void note_end(const open_request& opened, const routed_outcome& outcome, std::optional<time_point> now);
    admission_decision load_inputs(const route& matched_route, const routed_request& request, time_point now);
    admission_decision decide_admission(const route& matched_route, const routed_request& request,
                                        time_point now);
    void refuse_overloaded(request_number number, const route& matched_route, const routed_request& request,
                           const admission_decision& decision, time_point now);
    void refuse_at_greatest_bound(request_number number, const route& matched_route,
                                  const routed_request& request, time_point now);
    completion_estimate::result expected_completion(const route& matched_route, int priority, bool late,
                                                    time_point now);
    void add_local_shard(completion_estimate& into, const service_name& service, double size, int priority,
                         bool late) const;
    void add_group(completion_estimate& into, const route& matched_route, const shard_plan::group& item,
                   double size, time_point now) const;
    duration median_run_of(const service_name& service, double size) const;
    void spread_return(routed_outcome& refusal, const route& matched_route, const routed_request& request,
                       time_point now);
    void spread_last_refusal(const route& matched_route, const routed_request& request, time_point now);
    static execution_rules rules_for(const route& matched_route, const routed_request& request);
    static std::shared_ptr<const region_set> regions_of(const route& matched_route,
                                                        const routed_request& request);
    std::shared_ptr<const route> route_for(const team_name& name, std::shared_ptr<const route> matched_route);
    bool is_outside(const routed_request& request, const std::shared_ptr<const region_set>& regions) const;
    void process_outcome(const instance_name& peer, delegation_number number, const routed_outcome& outcome,
                         time_point now);
    void delegate_groups(request_number number, open_request& opened, time_point now);
    void delegate_group(request_number number, open_request& opened, group& target_group,
                        const instance_name& peer, bool again, time_point now,
                        std::optional<owner_shift> shift = {});
    void run_locally(request_number number, const std::vector<std::size_t>& part_indexes, bool again,
                     time_point now);
    bool run_group_locally(request_number number, group& failed_group, bool again, time_point now);
    void replace_delegation(request_number number, group& delegated_group, bool again, time_point now);
    bool reassign_group(request_number number, group& failed_group, bool again, time_point now);
    void on_delegation_failed(request_number number, group& delegated_group, const delegation& failed,
                              const routed_outcome& outcome, time_point now);
    void reassign_silent_groups(request_number number, time_point now);
    static void merge_outcome(open_request& opened, group& delegated_group, delegation& from,
                              const routed_outcome& outcome);
    static void end_group(open_request& opened, group& delegated_group);
    static void describe(const open_request& opened, routed_outcome& outcome);
    void send_progress(request_number number, open_request& opened, time_point now);
    bool uses_owner_delays() const noexcept;
    duration own_delay(const std::vector<service_name>& services, time_point now) const;
    duration runner_delay_of(const open_request& opened, time_point now) const;
    std::vector<group_choice::group> choose_groups(const route& matched_route, time_point now);
    void record_owner_delay(const instance_name& peer, const routed_outcome& outcome, time_point now);
    duration round_trip_to(const instance_name& peer) const;
    void record_round_trip(const instance_name& peer, duration round_trip);
    bool group_has_retry_budget(const open_request& opened, const group& target_group) const;
    bool fits_attempt_limit(const open_request& opened) const;
    backend_server_name designated_of(const open_request& opened, const service_name& service,
                                      const entry_peer& near) const;
    static std::size_t succeeded_parts(const open_request& opened);
    routed_outcome merged_so_far(const open_request& opened) const;
    double retry_budget_share_of(const service_name& service) const;
    double least_share_of(const open_request& opened) const;
    duration time_to_answer(const route& matched_route, const routed_request& request) const;
    duration time_to_objective(const route& matched_route, const routed_request& request) const;
    int priority_of(const route& matched_route, const team_name& name) const;
    std::vector<request_number> open_numbers() const;
    void apply_revision_to_waiting(const team_table& teams_before, time_point now);
    void refuse_waiting_parts(const open_request& opened, time_point now);
    void update_priority(open_request& opened, int priority, time_point now);
    void set_timer(request_number number, open_request& opened);
    void configure_scheduler(scheduler_index at, const shared_value<placed_service>& placed,
                             bool places_changed, time_point now);
    void limit_cold_servers(const cold_servers& before, time_point now);
    void set_warmup_limit(const backend_server_name& name, const cold_server& cold, time_point now);
    void note_due(scheduler_index at, service_scheduler& item);
    void detach(const part& detached);
    void submit(open_request& opened, part& submitted, double size, bool again, time_point now);
    void collect(scheduler_index at, time_point now);
    void apply(scheduler_index at, const dispatch::start_attempt& action, time_point now);
    void apply(scheduler_index at, const dispatch::cancel_attempt& action);
    void apply(scheduler_index at, const dispatch::finish_subquery& action, time_point now);
    void settle(request_number number, open_request& opened, time_point now);
    void settle_single(request_number number, open_request& opened, time_point now);
    void settle_fan_out(request_number number, open_request& opened, time_point now);
    void merge(request_number number, open_request& opened, std::optional<time_point> now);
    void end_at_deadline(request_number number, open_request& opened, std::optional<time_point> now);
    void fail(request_number number, open_request& opened, bool late, std::optional<time_point> now);
    static std::vector<std::size_t> missing_shards(const open_request& opened);
    void finish(request_number number, open_request& opened, routed_outcome outcome,
                std::optional<time_point> now);
    bool has_min_share(const open_request& opened) const;
    void on_timer(request_number number, time_point now);
    void drop_undeclared_services(time_point now);
    static const request_fingerprint& fingerprint_of(open_request& opened);
    crash_ledger::quarantine_state quarantine_state_of(open_request& opened, time_point now) const;
    bool is_held_or_quarantined(open_request& opened, time_point now) const;
    std::vector<crash_record> merge_crash_records(const std::vector<crash_record>& records, time_point now);
    void observe_crash(const started& ended, time_point now);
    void observe_answer(const started& ended, time_point now);
    std::int64_t born_ms_of(const started& attempt) const;
    void on_quarantine_state(const request_fingerprint& fingerprint, crash_ledger::quarantine_state before,
                             time_point now);
    void hold_or_release(const request_fingerprint& fingerprint, time_point now);
    void hold(request_number number, open_request& opened);
    void release(request_number number, open_request& opened, time_point now);
    void end_trial(dispatch::subquery_id subquery, time_point now);
    void forget_held(request_number number);
    void abandon_delegations(const open_request& opened, bool stops);
    void detach_parts(const open_request& opened);
    void process_held(time_point now);
    bool is_under_way(const open_request& opened) const;
    void end_quarantined(time_point now);
    void start_next_trial(time_point now);
    bool start_trial_of(request_number number, time_point now);
    bool can_run_trial(const part& item, const std::shared_ptr<const region_set>& regions,
                       time_point now) const;
    void publish_crash_changes(time_point now);

    router_options m_options;
    absence_rule m_absence;
    routing_view m_view;
    target_choice m_targets;
    group_choice m_groups;
    /// The other entries by name, and a moving average of the round trip to the entries of each region.
    std::map<instance_name, entry_peer> m_peers;
    std::map<std::string, duration> m_round_trips;
    /// Routes restricted to the regions of a team, by the names of route and team.
    std::map<std::pair<std::string, team_name>, std::shared_ptr<const route>> m_team_routes;
    std::map<scheduler_index, service_scheduler> m_service_schedulers;
    std::unordered_map<service_name, scheduler_index> m_scheduler_indexes;
    /// Schedulers by due time, as few of hundreds of services are due at a time.
    std::set<std::pair<time_point, scheduler_index>> m_due;
    std::uint64_t m_schedulers_configured = 0;
    scheduler_index m_next_scheduler = 1;
    std::unordered_map<request_number, open_request> m_open;
    std::set<std::pair<time_point, request_number>> m_timers;
    dispatch::subquery_id m_next_subquery = 1;
    std::unordered_map<dispatch::subquery_id, subquery_owner> m_subquery_owners;
    delegation_number m_next_delegation;
    std::unordered_map<delegation_number, request_number> m_delegations;
    routed_attempt_number m_next_attempt = 1;
    std::unordered_map<routed_attempt_number, started> m_started;
    std::map<std::pair<scheduler_index, dispatch::attempt_id>, routed_attempt_number> m_number_of;
    route_latencies m_route_latencies;
    processing_delay m_processing_delay;
    /// The time of the next timer that measures the delay.
    time_point m_delay_probe_at{};
    completion_margin m_completion_margin;
    open_request_limit m_open_limit;
    return_schedule m_returns;
    /// The requests of own callers that were answered since the last arrival.
    std::size_t m_answered = 0;
    crash_ledger m_crashes;
    /// Requests that are held back, the running trial, and the time from which the next trial may start.
    std::set<request_number> m_held;
    std::optional<trial> m_trial;
    time_point m_next_trial_at{};
    std::vector<router_action> m_actions;
};

} // namespace flaxtiller
