#pragma once

#include "http/backend_pool.hpp"
#include "http/http_server.hpp"
#include "http/pools_by_server.hpp"
#include "links/peer_links.hpp"
#include "process/trace_writer.hpp"
#include "register_client.hpp"

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace flaxtiller::shell
{

/// @brief The components and settings that all service runners of an entry share.
struct service_runner_context
{
    boost::asio::io_context& io;
    pools_by_server<backend_pool>& pools;
    peer_links& links;
    register_client& registers;
    metrics& counted;
    trace_writer& trace;
    instance_name self;
    /// Random number drawn at each start of the process; identifies the run of the process.
    std::uint64_t run = 0;
    service_coordinator::options options;
};

/// @brief Runs the @ref service_coordinator of one service, on a strand of its own.
///
/// The coordinator makes all decisions on queries, without any input or output. The runner passes it the
/// events: queries of callers, messages of other entries, results of attempts, replies of the register, and
/// time. It then executes the actions that the coordinator returns. Runners share no lock, so an overloaded
/// service delays other services only by the thread time that it uses.
class service_runner : public std::enable_shared_from_this<service_runner>
{
  public:
    using completion = std::function<void(const query_answer&)>;

    service_runner(service_runner_context& context, service_name service);

    /// @brief Submits a query. Thread-safe.
    /// @param done called once with the answer, on the strand of the runner
    void submit(query_request request, completion done);

    /// @brief Passes an event to the coordinator. Thread-safe.
    void post(coordinator_event incoming_event);

    /// @brief Calls @a done with a dump of the coordinator's state, on the strand of the runner. Thread-safe.
    void dump(std::function<void(nlohmann::json)> done);

    /// @return the number of queries that aren't answered yet, as of the last event. Thread-safe.
    std::size_t open_queries() const noexcept;

  private:
    struct running_attempt
    {
        std::shared_ptr<backend_pool> pool;
        std::string id;
    };

    void handle(const coordinator_event& incoming_event);
    void execute_actions();
    void schedule_timer();
    nlohmann::json dump_state() const;

    void execute(const dispatch::start_attempt& action);
    void execute(const dispatch::cancel_attempt& action);
    void execute(const delegate_to_peer& action);
    void execute(const send_results_to_peer& action);
    void execute(const abandon_delegated& action);
    void execute(const register_begin& action);
    void execute(const register_finish& action);
    void execute(const answer_caller& action);

    register_command make_register_command(query_id query, const query_request& request) const;

    service_runner_context& m_context;
    const service_name m_service;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    time_point m_timer_at = time_point::never();
    monotonic_clock m_clock;
    service_coordinator m_coordinator;
    std::shared_ptr<const placement> m_placed;
    query_id m_next_query = 1;
    struct caller
    {
        completion done;
        time_point arrived;
    };
    std::unordered_map<query_id, caller> m_callers;
    std::unordered_map<dispatch::attempt_id, running_attempt> m_attempts;
    std::atomic<std::size_t> m_open{0};
};

} // namespace flaxtiller::shell
