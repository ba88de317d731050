#pragma once

#include "connection_pool.hpp"
#include "http_server.hpp"
#include "link_message.hpp"
#include "pools_by_server.hpp"
#include "routed_http_codec.hpp"

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/clock.hpp>
#include <flaxtiller/routing/caller_admission.hpp>
#include <flaxtiller/routing/router.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace flaxtiller::shell
{

/// @brief Takes routed requests over HTTP, and carries out what the @ref router decides.
class routing_frontend
{
  public:
    /// Sends to another process, by name.
    using sender = std::function<void(const std::string&, const link_message&)>;

    /// Told with each update which other entries own shards that callers ask for; called on any thread.
    using owners_handler = std::function<void(std::set<instance_name>)>;

    /// Told what changed of requests that crash backend servers; called on the front's strand.
    using crash_records_handler = std::function<void(const crash_news&)>;

    routing_frontend(boost::asio::io_context& io, metrics& counted, const router_options& options,
                     routed_header_names names, sender send, owners_handler owners,
                     crash_records_handler crashes);

    std::error_code listen(const address& at);

    /// @brief Puts a configuration and the registered backend servers in force. Thread-safe; calls must not
    /// overtake one another.
    void update(const routing_view& view, const request_limits& limits);

    /// @brief Another entry asks, answers, or no longer waits. Thread-safe.
    void on_delegation(const std::string& from, const std::shared_ptr<const routed_ask>& delegated);
    void on_delegation_outcome(const std::string& from, const std::shared_ptr<const routed_return>& returned);
    void on_delegation_abandoned(const std::string& from, const routed_abandon& abandoned);

    /// @brief A control replica's word on limits; only that of the keeper counts. Thread-safe.
    void on_limit_word(const std::string& from, const std::shared_ptr<const limit_word>& word);

    /// @brief What a control replica knows of requests that crash backend servers. Thread-safe.
    void on_crash_news(const std::string& from, const std::shared_ptr<const crash_news>& news);

    /// @brief Tells the control replicas all that is known of such requests. Thread-safe.
    void report_all_crash_records();

    /// @brief The control replica that keeps the limits of teams. Thread-safe.
    /// @param heard whether it was heard of just now
    void set_rate_limit_coordinator(std::string name, bool contacted_now);

    /// @brief The link to another entry broke. Thread-safe.
    void on_entry_unreachable(const std::string& name);

    /// @brief From now on requests are taken; before, all are refused as not run.
    void open();

    /// @brief Serves on, but no connection is kept.
    void close_after_reply();

    /// @brief Takes no more requests; those that were read are answered.
    void drain();

    /// @brief Gives every open request its final answer, before this process ends.
    void answer_all();

    /// @brief Does what is due, whatever the timers say. Thread-safe.
    void handle_due_timers();

    /// @return requests that aren't replied to yet
    std::size_t in_flight() const noexcept;

    /// @brief Calls @a done with the state of the decisions, on their strand.
    void dump(std::function<void(nlohmann::json)> done);

  private:
    struct caller
    {
        std::function<void(const routed_outcome&)> respond;
        std::string id;
        /// Set once it is admitted.
        std::string team{};
        time_point arrived;
        /// The entry that asks on its caller's behalf; empty for a caller of this one's own.
        std::string delegated_by;
        ask_number delegation = 0;
    };

    struct pool_state
    {
        std::string address;
        int connections = 0;
        std::int64_t born_ms = 0;
        /// Shards of services that name the backend server.
        int uses = 0;
    };

    struct pooled_service
    {
        shared_value<placed_service> placed;
        int sharers = 0;
    };

    void on_request(const http_request& request, http_server::respond respond);
    void arrive(request_number number, std::shared_ptr<const routed_request> request, caller from);
    void arrive_from_caller(request_number number, routed_request request, const std::string& key,
                            caller from);
    void execute(const admit_request& action);
    void execute(const turn_away_request& action);
    void execute(const report_use& action);
    void log_over_limit(const turn_away_request& action) const;
    void on_caller_gone(request_number number);
    void on_no_longer_awaited(request_number number);
    void execute_actions();
    void execute(const ask_entry& action);
    void execute(const abandon_at_entry& action);
    void execute(const start_routed_attempt& action);
    void execute(const cancel_routed_attempt& action);
    void execute(const answer_request& action);
    void execute(const tell_progress_to_entry& action);
    void execute(const tell_crash_records& action);
    void execute(const note_standing& action);
    void on_reply(const start_routed_attempt& sent, time_point sent_at, http_exchange_result reply);
    void on_time();
    void schedule_timer();
    void configure_pools(const placement& placed);
    void configure_pool(const backend_server& server, int sharers);
    void release(const placed_service& service);
    void log_answer(const caller& from, const routed_outcome& outcome, duration elapsed) const;
    nlohmann::json dump_state() const;

    metrics& m_metrics;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    time_point m_timer_expiry = time_point::never();
    monotonic_clock m_clock;
    const routed_http_codec m_codec;
    const sender m_send;
    const owners_handler m_report_owners;
    const crash_records_handler m_report_crash_records;
    std::atomic<bool> m_open{false};
    std::atomic<request_number> m_next_request{1};
    // On the strand only.
    caller_admission m_admission;
    router m_router;
    /// The control replica that keeps the limits; empty while none is known.
    std::string m_rate_limit_coordinator;
    pools_by_server<connection_pool> m_pools;
    /// The services whose pools are configured.
    std::map<service_name, pooled_service> m_services_with_pools;
    /// What the pools were last told, by backend server.
    std::unordered_map<backend_server_name, pool_state> m_servers;
    std::unordered_map<request_number, caller> m_callers;
    /// Requests that other entries asked for, by their name and number.
    std::map<std::pair<std::string, ask_number>, request_number> m_delegations;
    std::unordered_map<routed_attempt_number, std::shared_ptr<connection_pool>> m_attempts;
    http_server m_server;
};

} // namespace flaxtiller::shell
