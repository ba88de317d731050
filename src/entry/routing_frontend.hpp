#pragma once

#include "http/connection_pool.hpp"
#include "http/http_server.hpp"
#include "http/pools_by_server.hpp"
#include "links/link_message.hpp"
#include "registration_times.hpp"
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

/// @brief The HTTP server of an entry for routed requests.
///
/// A routed request is an HTTP request that the @ref router forwards to one backend server, or to the shards
/// of a service, by the routes of the configuration. The frontend receives requests from callers and
/// delegated shards from other entries, passes them to the @ref caller_admission and the router as events,
/// and executes the actions that these return: it sends attempts to backend servers, messages to other
/// processes, and the answers. Everything but the HTTP server itself runs on one strand.
class routing_frontend
{
  public:
    /// Sends a message to the process with the given name.
    using sender = std::function<void(const std::string&, const link_message&)>;

    /// Receives, with each update, the other entries that own shards requested by callers. Called on the
    /// strand of the frontend.
    using owners_handler = std::function<void(std::set<instance_name>)>;

    /// Receives changed crash records, which describe requests that crash backend servers. Called on the
    /// strand of the frontend.
    using crash_records_handler = std::function<void(const crash_news&)>;

    /// Sends a usage report to the control replicas other than the named one. Called on the strand of the
    /// frontend.
    using witness_report_handler =
        std::function<void(const limit_report& report, const std::string& coordinator)>;

    /// @param registered_at states in the lines of attempts how old the knowledge of a backend server is
    /// @param most_connections maximum number of connections of callers
    routing_frontend(boost::asio::io_context& io, metrics& counted, const registration_times& registered_at,
                     std::size_t most_connections, const router_options& options, routed_header_names names,
                     sender send, owners_handler owners, crash_records_handler crashes,
                     witness_report_handler witnesses);

    std::error_code listen(const address& at);

    /// @brief Applies a configuration and the registered backend servers. Thread-safe, but calls must be made
    /// one after the other, since the last call wins.
    void update(const routing_view& view, const request_limits& limits);

    /// @brief Handles messages of other entries: a delegation of shards, the outcome of a delegation, or the
    /// notice that an outcome is no longer awaited. Thread-safe.
    void on_delegation(const std::string& from, const std::shared_ptr<const routed_ask>& delegated);
    void on_delegation_outcome(const std::string& from, const std::shared_ptr<const routed_return>& returned);
    void on_delegation_abandoned(const std::string& from, const routed_abandon& abandoned);

    /// @brief Handles a message on team limits from a control replica. Ignored unless the sender is the
    /// current rate limit coordinator. Thread-safe.
    void on_limit_update(const std::string& from, const std::shared_ptr<const limit_update>& limit_message);

    /// @brief Handles crash records from a control replica. Thread-safe.
    void on_crash_update(const std::string& from, const std::shared_ptr<const crash_news>& crash_update);

    /// @brief Reports all known crash records to a control replica that may have none of them. Thread-safe.
    void report_all_crash_records();

    /// @brief Reports the recent crash records again, since an earlier report may be lost. Thread-safe.
    void report_recent_crash_records();

    /// @brief Sets the rate limit coordinator: the control replica that holds the account of the team limits.
    /// Thread-safe.
    /// @param name name of the replica; empty if none is known
    /// @param contacted_now whether a message of this replica was received just now
    /// @param was_witness whether the last usage report for witnesses was sent to it
    void set_rate_limit_coordinator(std::string name, bool contacted_now, bool was_witness);

    /// @brief Handles the loss of the link to another entry. Thread-safe.
    void on_entry_unreachable(const std::string& name);

    /// @brief Starts to accept requests. Before this call, all requests are refused as not run.
    void open();

    /// @brief Sets when a leader confirmed the active configuration, and until when this is valid.
    /// Thread-safe.
    void set_confirmed(time_point at, time_point until) noexcept;

    /// @brief Closes each connection of a caller after its next reply. Requests are still accepted.
    void close_after_reply();

    /// @brief Accepts no more requests. Requests that were already read are answered.
    void drain();

    /// @brief Answers every open request at once, before the process ends.
    void answer_all();

    /// @brief Handles all expired deadlines at once, without waiting for the timer. Thread-safe.
    void handle_due_timers();

    /// @return the number of requests that aren't replied to yet
    std::size_t in_flight() const noexcept;

    /// @return the server that callers connect to
    const http_server& server() const noexcept
    {
        return m_server;
    }

    /// @brief Calls @a done with a dump of the state of admission and router, on the strand of the frontend.
    void dump(std::function<void(nlohmann::json)> done);

  private:
    /// A request that isn't answered yet, and its origin.
    struct caller
    {
        std::function<void(const routed_outcome&)> respond;
        std::string id;
        /// The team of the caller; empty until the request is admitted.
        std::string team{};
        time_point arrived;
        /// The entry that delegated the request; empty if the request arrived from a caller directly.
        std::string delegated_by;
        delegation_number delegation = 0;
        /// The memory of a delegated request; that of a caller's request is accounted by its connection.
        std::shared_ptr<message_memory::share> memory{};
    };

    /// The settings of the connection pool of a backend server.
    struct pool_state
    {
        std::string address;
        int connections = 0;
        std::int64_t born_ms = 0;
        /// Number of shards, over all services, that are placed on the backend server.
        int uses = 0;
    };

    /// A service as its pools were last configured, and the number of entries that share its backend servers.
    struct pooled_service
    {
        shared_value<placed_service> placed;
        int sharers = 0;
    };

    void on_request(const http_request& request, http_server::respond respond);
    void on_refusal(const http_request& head, int status) const;
    void arrive(request_number number, std::shared_ptr<const routed_request> request, caller from);
    void arrive_from_caller(request_number number, routed_request request, const std::string& key,
                            caller from);
    /// Passes the validity of the last confirmation to the decisions.
    /// @return the present time, read after that validity, so that a process that stands still in between
    ///         doesn't count as confirmed
    time_point check_confirmation();
    void execute(const admit_request& action);
    void execute(const reject_request& action);
    void execute(const send_limit_report& action);
    void execute(const send_witness_report& action);
    void log_over_limit(const reject_request& action) const;
    void log_admission_refused(const caller& from, const routed_outcome& outcome) const;
    nlohmann::json dump_admission() const;
    void on_caller_gone(request_number number);
    void on_no_longer_awaited(request_number number);
    void execute_actions();
    void execute(const delegate_shards& action);
    void execute(const abandon_delegation& action);
    void execute(const start_routed_attempt& action);
    void execute(const cancel_routed_attempt& action);
    void execute(const answer_request& action);
    void execute(const send_partial_outcome& action);
    void execute(const publish_crash_records& action);
    void execute(const report_quarantine_state& action);
    void report_crash_records(std::vector<crash_record> records) const;
    void on_reply(const start_routed_attempt& sent, time_point sent_at, http_exchange_result reply);
    void on_time();
    void schedule_timer();
    void report_body_limit(std::size_t body_bytes);
    void configure_pools(const placement& placed);
    void configure_pool(const backend_server& server, int sharers);
    void release(const placed_service& service);
    void log_answer(const caller& from, const routed_outcome& outcome, duration elapsed) const;
    void log_unknown(const caller& from, const routed_outcome& outcome) const;
    nlohmann::json dump_state() const;

    /// @return how old the knowledge of a backend server was at a time; -1 if it isn't registered
    double known_for_ms(const backend_server_name& server, time_point at) const;

    metrics& m_metrics;
    const registration_times& m_registered_at;
    const std::size_t m_most_connections;
    /// The limit of the configuration that was last checked against the memory; used by @ref update only.
    std::size_t m_reported_body_bytes = 0;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    time_point m_timer_expiry = time_point::never();
    monotonic_clock m_clock;
    const routed_http_codec m_codec;
    const sender m_send;
    const owners_handler m_report_owners;
    const crash_records_handler m_report_crash_records;
    const witness_report_handler m_report_to_witnesses;
    std::atomic<bool> m_open{false};
    /// When a leader last confirmed the active configuration, in microseconds of the monotonic clock.
    std::atomic<std::int64_t> m_confirmed_at_us{0};
    /// Until when this proves what the configuration lacks, likewise.
    std::atomic<std::int64_t> m_confirmed_until_us{0};
    std::atomic<request_number> m_next_request{1};
    // The members below are used on the strand only.
    caller_admission m_admission;
    router m_router;
    /// The control replica that holds the account of the team limits; empty if none is known.
    std::string m_rate_limit_coordinator;
    pools_by_server<connection_pool> m_pools;
    /// The services whose connection pools are configured.
    std::map<service_name, pooled_service> m_services_with_pools;
    /// The last settings of each connection pool, by backend server.
    std::unordered_map<backend_server_name, pool_state> m_servers;
    std::unordered_map<request_number, caller> m_callers;
    /// Requests that other entries delegated, by the entry's name and its number for the delegation.
    std::map<std::pair<std::string, delegation_number>, request_number> m_delegations;
    std::unordered_map<routed_attempt_number, std::shared_ptr<connection_pool>> m_attempts;
    http_server m_server;
};

} // namespace flaxtiller::shell
