#pragma once

#include "backend_pool.hpp"
#include "http_server.hpp"
#include "peer_links.hpp"
#include "pools_by_server.hpp"
#include "register_client.hpp"
#include "trace_writer.hpp"

#include <flaxtiller/coordinator/service_coordinator.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace flaxtiller::shell
{

/// @brief What all lanes of an entry share.
struct service_runner_context
{
    boost::asio::io_context& io;
    pools_by_server<backend_pool>& pools;
    peer_links& links;
    register_client& registers;
    metrics& counted;
    trace_writer& trace;
    instance_name self;
    /// Drawn at each start of the process.
    std::uint64_t run = 0;
    service_coordinator::options options;
};

/// @brief Runs the decisions for one service on a strand of its own and carries out what they want.
///
/// Lanes share no lock: a service that is flooded takes no other service's turn but its share of the threads.
class service_runner : public std::enable_shared_from_this<service_runner>
{
  public:
    using completion = std::function<void(const query_answer&)>;

    service_runner(service_runner_context& context, service_name service);

    /// @brief Asks a query; @a done is called once, on the lane's strand.
    void submit(query_request request, completion done);

    /// @brief Takes in what happened elsewhere. Thread-safe.
    void post(coordinator_event incoming_event);

    /// @brief Calls @a done with a dump of the decisions' state, on the lane's strand.
    void dump(std::function<void(nlohmann::json)> done);

    /// @return queries not answered yet; a recent value
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
    void execute(const ask_peer& action);
    void execute(const answer_peer& action);
    void execute(const abandon_at_peer& action);
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
