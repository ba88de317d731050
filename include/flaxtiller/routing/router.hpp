#pragma once

#include <flaxtiller/dispatch/scheduler.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>
#include <flaxtiller/routing/group_choice.hpp>
#include <flaxtiller/routing/route_sizes.hpp>
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

/// @brief All decisions of one entry instance on routed requests: route, target, attempts, merge, and when
/// to answer. Deterministic.
///
/// Each service has a @ref dispatch::scheduler of its own, shared by all routes that name the service.
///
/// Coverage against the objective: a fan-out is answered when all parts are in; else with the parts that are
/// in when its share of the objective has passed, if these reach the route's least share; else as soon as
/// they do. Once too many parts have failed to reach it, the request fails at once.
class router
{
  public:
    explicit router(router_options options);

    // ------------------------------------------------------------------ events

    /// @brief Another revision, or other backend servers. Requests under way keep the route they began with.
    void configure(routing_view view, time_point now);

    /// @brief A caller asks.
    void arrive(request_number number, std::shared_ptr<const routed_request> request, time_point now);

    /// @brief A caller went away: its attempts are stopped and nothing is answered.
    void caller_gone(request_number number, time_point now);

    /// @brief The entry that asked has answered without it: nothing further is started for it, and nothing
    /// answered.
    void no_longer_awaited(request_number number);

    /// @brief An attempt ended.
    /// @param answer the whole answer, if one came, be it a success or a failure
    void attempt_ended(routed_attempt_number attempt, const dispatch::attempt_result& result,
                       std::shared_ptr<const backend_answer> answer, time_point now);

    /// @brief Another entry answered what it was asked by @ref ask_entry, in full or so far.
    void on_delegation_outcome(const instance_name& peer, delegation_number number, const routed_outcome& outcome,
                        time_point now);

    /// @brief The link to another entry broke: what it was asked is asked elsewhere at once.
    void on_entry_disconnected(const instance_name& peer, time_point now);

    /// @brief What other processes know of requests that crash backend servers.
    void on_crash_records(const std::vector<crash_record>& records, time_point now);

    /// @brief Time has passed.
    void on_time(time_point now);

    /// @brief This instance is about to end: each open request gets its final answer, with what is in.
    void answer_all();

    // ------------------------------------------------------------------ results

    /// @return what must be done now, in this order
    std::vector<router_action> take_actions();

    /// @return when @ref on_time is next needed
    time_point next_time() const noexcept;

    // ------------------------------------------------------------------ inspection

    /// @return requests that aren't answered yet
    std::size_t open_requests() const noexcept;

    /// @return the other entries that own shards of fan-outs: whom to keep links to
    std::set<instance_name> owners_to_link() const;

    /// @return how many instances share the connections to the service's backend servers
    int connection_sharers_of(const service_name& service) const;

    /// @return what is known of requests that crash backend servers
    const crash_ledger& crashes() const noexcept
    {
        return m_crashes;
    }

    /// @return how often a service's scheduler was configured since the beginning
    std::uint64_t schedulers_configured() const noexcept
    {
        return m_schedulers_configured;
    }

    /// @return the scheduler of a service, or nothing
    const dispatch::scheduler* scheduler_of(const service_name& service) const;

  private:
    using scheduler_index = std::uint64_t;

    struct service_scheduler
    {
        service_name service;
        dispatch::scheduler scheduler;
        /// What the scheduler was configured with last; no sharers before the first time.
        shared_value<placed_service> placed{};
        int sharers = 0;
        double slack = 0.0;
        /// When its scheduler is next looked at, as noted in @ref m_due.
        time_point due = time_point::never();
    };

    /// Whose work a subquery is.
    struct subquery_owner
    {
        request_number request = 0;
        /// Position among the request's parts.
        std::size_t part = 0;
    };

    struct part
    {
        service_name service;
        /// Its position in the route's fan-out.
        std::size_t shard = 0;
        /// As the entry that asked wants it; see dispatch::subquery::designated.
        backend_server_name designated;
        /// Whether the entry that asked has it already.
        bool is_reported = false;
        /// Set once it is run here.
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

    /// What one entry was asked of a group.
    struct delegation
    {
        delegation_number number = 0;
        instance_name peer;
        time_point sent_at;
        bool has_replied = false;
        bool is_finished = false;
        /// What it told so far.
        routed_outcome outcome{};
    };

    /// Shards that other entries run: one, and a second one where the first is silent.
    struct group
    {
        std::vector<std::size_t> parts;
        /// Named to every entry that is asked; empty where all replicas may be used anyway.
        std::vector<backend_server_name> designated;
        std::vector<delegation> delegations;
        bool is_finished = false;
        /// The best that came so far.
        routed_outcome outcome;
        instance_name answered_by;

        /// @return whether some entry that was asked may still answer
        bool is_awaited() const
        {
            return std::any_of(delegations.begin(), delegations.end(),
                               [](const delegation& sent)
                               {
                                   return !sent.is_finished;
                               });
        }

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
        /// The configuration's revision when it came.
        std::int64_t revision = 0;
        /// The identity of its route's list of shards.
        std::uint64_t list = 0;
        std::shared_ptr<const routed_request> request;
        std::shared_ptr<const route> matched_route;
        /// Where it may run; null for anywhere.
        std::shared_ptr<const region_set> regions;
        time_point arrived_at;
        time_point deadline;
        /// When a fan-out answers with what is in.
        time_point answer_at;
        /// When groups of which nothing was heard are asked elsewhere.
        time_point group_check_at = time_point::never();
        /// When the entry that asked is told what is in so far.
        time_point progress_at = time_point::never();
        /// When it is looked at next.
        time_point timer_at;
        std::vector<part> parts;
        std::vector<group> groups;
        /// Shared by the parts that are run here; null where these are too few to tell anything.
        std::shared_ptr<dispatch::fan_out_progress> progress{};
        int succeeded = 0;
        int missing = 0;
        int attempts = 0;
        bool may_have_run = false;
        bool past_objective = false;
        /// Whether backend servers are named to the entries that are asked.
        bool designates_servers = false;
        missing_reason reason = missing_reason::none;
        duration retry_after{};
        /// Worked out when it is first needed.
        std::optional<request_fingerprint> fingerprint{};
        /// Whether its parts are held back, as it may crash backend servers.
        bool held = false;
        /// What is known of backend servers that crashed under it.
        std::vector<crash_record> crashes{};
    };

    struct started
    {
        scheduler_index scheduler_id = 0;
        dispatch::attempt_id attempt = 0;
        dispatch::subquery_id subquery = 0;
        request_number request = 0;
        std::shared_ptr<const routed_request> sent;
        std::shared_ptr<const route> matched_route;
        /// Its list of shards.
        std::uint64_t list = 0;
        backend_server_name server;
        time_point since;
        /// Whether it is the only one of a request that may crash backend servers.
        bool on_trial = false;
    };

    /// The only attempt that is let through of a request that is held back.
    struct trial
    {
        request_number request = 0;
        dispatch::subquery_id subquery = 0;
    };

    scheduler_index scheduler_index_of(const service_name& service);
    std::vector<part> parts_of(const route& matched_route, const routed_request& request);
    void refuse(request_number number, const route* matched_route, missing_reason reason, duration retry_after = {});
    void refuse_quarantined(request_number number, const route& matched_route, const request_fingerprint& fingerprint,
                            time_point now);
    bool refuse_unservable(request_number number, const route& matched_route,
                           const std::shared_ptr<const region_set>& regions, time_point now);
    static std::shared_ptr<const region_set> regions_of(const route& matched_route, const routed_request& request);
    std::shared_ptr<const route> route_for(const team_name& name, std::shared_ptr<const route> matched_route);
    bool is_outside(const routed_request& request, const std::shared_ptr<const region_set>& regions) const;
    void process_outcome(const instance_name& peer, delegation_number number, const routed_outcome& outcome,
                     time_point now);
    void delegate_groups(request_number number, open_request& opened, time_point now);
    void delegate_group(request_number number, open_request& opened, group& wanted, const instance_name& peer,
                 bool again, time_point now);
    void run_locally(request_number number, const std::vector<std::size_t>& wanted, bool again, time_point now);
    bool run_group_locally(request_number number, group& failed_group, bool again, time_point now);
    void replace_delegation(request_number number, group& asked, bool again, time_point now);
    bool reassign_group(request_number number, group& failed_group, bool again, time_point now);
    void on_delegation_failed(request_number number, group& asked, const delegation& failed, const routed_outcome& outcome,
                  time_point now);
    void reassign_silent_groups(request_number number, time_point now);
    static void merge_outcome(open_request& opened, group& asked, delegation& from, const routed_outcome& outcome);
    static void end_group(open_request& opened, group& asked);
    static void describe(const open_request& opened, routed_outcome& outcome);
    void send_progress(request_number number, open_request& opened, time_point now);
    duration round_trip_to(const instance_name& peer) const;
    void record_round_trip(const instance_name& peer, duration way);
    bool group_has_retry_budget(const open_request& opened, const group& wanted) const;
    bool fits_attempt_limit(const open_request& opened) const;
    backend_server_name designated_of(const open_request& opened, const service_name& service,
                                      const entry_peer& near) const;
    static std::size_t succeeded_parts(const open_request& opened);
    routed_outcome merged_so_far(const open_request& opened) const;
    double retry_budget_share_of(const service_name& service) const;
    double least_share_of(const open_request& opened) const;
    duration time_to_answer(const route& matched_route, const routed_request& request) const;
    void set_timer(request_number number, open_request& opened);
    void configure_scheduler(scheduler_index at, const shared_value<placed_service>& placed, bool places_changed,
                        time_point now);
    void limit_cold_servers(const cold_servers& before, time_point now);
    void limit_cold(const backend_server_name& name, const cold_server& cold, time_point now);
    void note_due(scheduler_index at, service_scheduler& item);
    void detach(const part& asked);
    void submit(open_request& opened, part& wanted, double size, bool again, time_point now);
    void collect(scheduler_index at, time_point now);
    void apply(scheduler_index at, const dispatch::start_attempt& action, time_point now);
    void apply(scheduler_index at, const dispatch::cancel_attempt& action);
    void apply(scheduler_index at, const dispatch::finish_subquery& action, time_point now);
    void settle(request_number number, open_request& opened, time_point now);
    void settle_single(request_number number, open_request& opened);
    void settle_fan_out(request_number number, open_request& opened, time_point now);
    void merge(request_number number, open_request& opened);
    void end_at_deadline(request_number number, open_request& opened);
    void fail(request_number number, open_request& opened, bool late);
    static std::vector<std::size_t> missing_shards(const open_request& opened);
    void finish(request_number number, open_request& opened, routed_outcome outcome);
    bool has_min_share(const open_request& opened) const;
    void on_timer(request_number number, time_point now);
    void drop_undeclared_services(time_point now);
    static const request_fingerprint& fingerprint_of(open_request& opened);
    crash_ledger::quarantine_state quarantine_state_of(open_request& opened, time_point now) const;
    bool is_held_or_quarantined(open_request& opened, time_point now) const;
    void merge_crash_records(const std::vector<crash_record>& records, time_point now);
    void observe_crash(const started& ended, time_point now);
    void observe_answer(const started& ended, time_point now);
    std::int64_t born_ms_of(const started& attempt) const;
    void on_quarantine_state(const request_fingerprint& fingerprint, crash_ledger::quarantine_state before, time_point now);
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
    routing_view m_view;
    target_choice m_targets;
    group_choice m_groups;
    /// The other entries, and what the way to and from a region's entries costs, a moving average.
    std::map<instance_name, entry_peer> m_peers;
    std::map<std::string, duration> m_round_trips;
    /// Routes as they hold for teams that are bound to regions, by the names of both.
    std::map<std::pair<std::string, team_name>, std::shared_ptr<const route>> m_team_routes;
    std::map<scheduler_index, service_scheduler> m_service_schedulers;
    std::unordered_map<service_name, scheduler_index> m_scheduler_indexes;
    /// Which scheduler has something to do when: hundreds of services, of which few are due at a time.
    std::set<std::pair<time_point, scheduler_index>> m_due;
    std::uint64_t m_schedulers_configured = 0;
    scheduler_index m_next_lane = 1;
    std::unordered_map<request_number, open_request> m_open;
    std::set<std::pair<time_point, request_number>> m_timers;
    dispatch::subquery_id m_next_subquery = 1;
    std::unordered_map<dispatch::subquery_id, subquery_owner> m_subquery_owners;
    delegation_number m_next_delegation = 1;
    std::unordered_map<delegation_number, request_number> m_delegations;
    routed_attempt_number m_next_attempt = 1;
    std::unordered_map<routed_attempt_number, started> m_started;
    std::map<std::pair<scheduler_index, dispatch::attempt_id>, routed_attempt_number> m_number_of;
    route_latencies m_route_latencies;
    crash_ledger m_crashes;
    /// Requests that are held back, the trial that is under way, and when the next one may begin.
    std::set<request_number> m_held;
    std::optional<trial> m_trial;
    time_point m_next_trial_at{};
    std::vector<router_action> m_actions;
};

} // namespace flaxtiller
