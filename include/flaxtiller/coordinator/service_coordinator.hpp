#pragma once

#include <flaxtiller/coordinator/action.hpp>
#include <flaxtiller/coordinator/event.hpp>
#include <flaxtiller/dispatch/admission.hpp>
#include <flaxtiller/dispatch/scheduler.hpp>
#include <flaxtiller/query/query_execution.hpp>
#include <flaxtiller/query/version_availability.hpp>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

/// @brief Makes all decisions of one entry instance on the queries of one service. Deterministic.
///
/// A query is split into one subquery per shard. Each shard has an owner, an entry instance that schedules
/// the subqueries of the shard. The coordinator delegates subqueries to the owners, schedules those of its
/// own shards, and merges the results to an answer. It consumes events (@ref handle) and returns actions
/// (@ref take_actions). Services share no state, so that one service can't delay another.
class service_coordinator
{
  public:
    /// @brief The tuning parameters.
    struct options
    {
        dispatch::scheduler_options scheduling;
        /// The time that is subtracted from the deadline for the round trip of each hop.
        duration round_trip_reserve = duration::from_ms(2);
        /// The highest number of open queries of the service in this instance; further queries are refused.
        std::size_t max_open_queries = 10000;
        /// The time for which the queue wait that a peer reported is used.
        duration peer_wait_validity = duration::from_ms(500);
        /// The longest time for which an answer waits for the register to record the outcome.
        duration record_timeout = duration::from_ms(1000);
    };

    /// @param self the name of this instance
    /// @param first_serial the number of the first query; it must differ between runs of an instance
    service_coordinator(instance_name self, service_name service, options settings,
                        std::uint64_t first_serial);

    /// @brief Handles an event that occurred at @a now.
    void handle(const coordinator_event& new_event, time_point now);

    /// @brief Removes and returns the actions to execute now, in order.
    std::vector<coordinator_action> take_actions();

    /// @return the time of the next @ref time_passed event that is needed
    time_point next_time() const noexcept;

    /// @return the number of unanswered queries
    std::size_t open_queries() const noexcept;

    const dispatch::scheduler& scheduler() const noexcept;
    const version_availability& versions() const noexcept;

    /// @return the current owner of a shard
    instance_name owner_of(int shard) const;

  private:
    struct open_query
    {
        query_request request;
        std::shared_ptr<const std::string> body;
        query_execution execution;
        time_point deadline;
        /// The number of shards of the service by which the query was split.
        int shards = 0;
        /// Whether the query waits for the register to grant it or to record its outcome.
        bool awaits_register = false;
        bool recorded = false;
    };

    /// The source of a subquery of the local scheduler: a local query, or another instance if @ref peer is
    /// set.
    struct subquery_origin
    {
        query_id query = 0;
        instance_name peer;
        std::uint64_t number = 0;
        bool repeatable = true;
        std::shared_ptr<const std::string> body;
        /// The number of shards that the position of the shard refers to; 0 if it isn't known.
        int shards = 0;
    };

    struct delegated_part
    {
        query_id query = 0;
        instance_name owner;
        query_execution::part part;
    };

    struct peer_wait
    {
        duration wait{};
        time_point received_at{};
    };

    void on(const placement_changed& event, time_point now);
    void on(const peer_reachable& event, time_point now);
    void on(const query_arrived& event, time_point now);
    void on(const attempt_ended& event, time_point now);
    void on(const peer_delegated& event, time_point now);
    void on(const peer_answered& event, time_point now);
    void on(const peer_abandoned& event, time_point now);
    void on(const register_began& event, time_point now);
    void on(const register_finished& event, time_point now);
    void on(const listed& event, time_point now);
    void on(const time_passed& event, time_point now);

    void expire(time_point now);
    void refuse(const query_arrived& event, errc error, duration retry_after);
    std::vector<int> shards_of(const query_request& request) const;
    bool shards_known(const query_request& request) const;
    int shard_count() const;
    bool is_of_other_shards(dispatch::subquery_id id) const;
    duration longest_wait(const std::vector<int>& shards, time_point now) const;
    void run(query_id id, open_query& query, time_point now);
    void send_parts(query_id id, open_query& query, time_point now);
    void route(query_id id, const open_query& query, const query_execution::part& part, time_point now);
    void route_local(const subquery_origin& from, const query_execution::part& part, time_point deadline,
                     time_point now);
    void on_part_result(query_id id, std::uint64_t number, const subquery_result& result, time_point now);
    void cancel_parts(const std::vector<std::uint64_t>& numbers, time_point now);
    void finish_if_complete(query_id id, open_query& query, time_point now);
    void answer_query(query_id id, query_answer answer);
    void collect_scheduler_actions(time_point now);
    void rank_owners();

    const instance_name m_self;
    const service_name m_service;
    const options m_options;
    dispatch::scheduler m_scheduler;
    dispatch::admission m_admission;
    version_availability m_versions;
    std::shared_ptr<const placement> m_placed;
    /// The owner candidates of each group of shards, in order of preference.
    std::vector<std::vector<instance_name>> m_candidates;
    std::set<instance_name> m_reachable;
    std::uint64_t m_next_serial;
    dispatch::subquery_id m_next_subquery = 1;
    std::unordered_map<query_id, open_query> m_queries;
    std::set<std::pair<time_point, query_id>> m_deadlines;
    /// Queries that were answered before the register answered their @ref register_begin.
    std::unordered_map<query_id, query_request> m_abandoned_begins;
    std::unordered_map<dispatch::subquery_id, subquery_origin> m_subquery_origins;
    std::unordered_map<std::uint64_t, delegated_part> m_delegated;
    /// The subqueries of local queries by part number, for cancellation.
    std::unordered_map<std::uint64_t, dispatch::subquery_id> m_local_parts;
    std::map<std::pair<instance_name, std::uint64_t>, dispatch::subquery_id> m_peer_subqueries;
    std::map<int, peer_wait> m_peer_waits;
    std::map<instance_name, delegate_to_peer> m_delegations;
    std::map<instance_name, send_results_to_peer> m_results_for_peers;
    std::map<instance_name, abandon_delegated> m_abandoned_for_peers;
    std::vector<coordinator_action> m_actions;
};

} // namespace flaxtiller
