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

/// @brief All decisions of one entry instance for one service: plan, routing to owners, scheduling of the
/// shards it owns, merge. Deterministic; services share no state, so that one can't hold up another.
class service_coordinator
{
  public:
    /// @brief What can be turned.
    struct options
    {
        dispatch::scheduler_options scheduling;
        /// Kept back from the deadline for each hop there and back.
        duration way_there_and_back = duration::from_ms(2);
        /// Queries under way in this instance for this service; one more is refused.
        std::size_t most_queries = 10000;
        /// How long a peer's word on its queues counts.
        duration wait_age = duration::from_ms(500);
        /// How long an answer waits for the register to record it, at most, beyond the deadline never.
        duration record_bound = duration::from_ms(1000);
    };

    /// @param self this instance
    /// @param first_serial numbers of queries start here; must differ from run to run of the same instance
    service_coordinator(instance_name self, service_name service, options limits, std::uint64_t first_serial);

    /// @brief Takes in what happened at @a now.
    void handle(const coordinator_event& happened, time_point now);

    /// @return what must be done now, in this order
    std::vector<coordinator_action> take_actions();

    /// @return when a @ref time_passed is next needed
    time_point next_time() const noexcept;

    /// @return queries that aren't answered yet
    std::size_t open_queries() const noexcept;

    const dispatch::scheduler& scheduler() const noexcept;
    const version_availability& versions() const noexcept;

    /// @return the owner to which a subquery of this shard would go now
    instance_name owner_of(int shard) const;

  private:
    struct open_query
    {
        query_request request;
        std::shared_ptr<const std::string> body;
        query_execution execution;
        time_point deadline;
        /// Waits for the register to grant or to record it.
        bool awaits_register = false;
        bool recorded = false;
    };

    /// Where a subquery of the local scheduler comes from.
    struct origin
    {
        query_id query = 0;
        instance_name peer;
        std::uint64_t number = 0;
        bool repeatable = true;
        std::shared_ptr<const std::string> body;
    };

    struct remote_part
    {
        query_id query = 0;
        instance_name owner;
        query_execution::part part;
    };

    struct peer_wait
    {
        duration wait{};
        time_point heard_at{};
    };

    void on(const placement_changed& event, time_point now);
    void on(const peer_reachable& event, time_point now);
    void on(const query_arrived& event, time_point now);
    void on(const attempt_ended& event, time_point now);
    void on(const peer_asked& event, time_point now);
    void on(const peer_answered& event, time_point now);
    void on(const peer_abandoned& event, time_point now);
    void on(const register_began& event, time_point now);
    void on(const register_finished& event, time_point now);
    void on(const listed& event, time_point now);
    void on(const time_passed& event, time_point now);

    void expire(time_point now);
    void refuse(const query_arrived& event, errc why, duration retry_after);
    std::vector<int> shards_of(const query_request& request) const;
    bool shards_known(const query_request& request) const;
    duration longest_wait(const std::vector<int>& shards, time_point now) const;
    void run(query_id id, open_query& query, time_point now);
    void send_parts(query_id id, open_query& query, time_point now);
    void route(query_id id, const open_query& query, const query_execution::part& part, time_point now);
    void route_local(const origin& from, const query_execution::part& part, time_point deadline,
                     time_point now);
    void part_over(query_id id, std::uint64_t number, const subquery_result& result, time_point now);
    void drop_parts(const std::vector<std::uint64_t>& numbers, time_point now);
    void settle(query_id id, open_query& query, time_point now);
    void tell(query_id id, query_answer answer);
    void collect_scheduler_actions(time_point now);
    void rank_owners();

    const instance_name m_self;
    const service_name m_service;
    const options m_options;
    dispatch::scheduler m_scheduler;
    dispatch::admission m_admission;
    version_availability m_versions;
    std::shared_ptr<const placement> m_placed;
    /// By group of shards: candidates, most preferred first.
    std::vector<std::vector<instance_name>> m_candidates;
    std::set<instance_name> m_reachable;
    std::uint64_t m_next_serial;
    dispatch::subquery_id m_next_subquery = 1;
    std::unordered_map<query_id, open_query> m_queries;
    std::set<std::pair<time_point, query_id>> m_deadlines;
    /// Given up before the register answered their begin.
    std::unordered_map<query_id, query_request> m_late_begins;
    std::unordered_map<dispatch::subquery_id, origin> m_origins;
    std::unordered_map<std::uint64_t, remote_part> m_remote;
    /// Local parts, to abandon them by number.
    std::unordered_map<std::uint64_t, dispatch::subquery_id> m_local;
    std::map<std::pair<instance_name, std::uint64_t>, dispatch::subquery_id> m_for_peers;
    std::map<int, peer_wait> m_peer_waits;
    std::map<instance_name, ask_peer> m_asks;
    std::map<instance_name, answer_peer> m_answers;
    std::map<instance_name, abandon_at_peer> m_abandons;
    std::vector<coordinator_action> m_actions;
};

} // namespace flaxtiller
