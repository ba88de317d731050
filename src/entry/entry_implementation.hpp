#pragma once

#include "entry_process.hpp"
#include "known_control_replicas.hpp"

#include "http/pools_by_server.hpp"
#include "links/peer_links.hpp"
#include "process/caller_watch.hpp"
#include "process/log.hpp"
#include "process/suspension_watch.hpp"
#include "process/system.hpp"
#include "process/trace_writer.hpp"
#include "register_client.hpp"
#include "routing_frontend.hpp"
#include "service_runner.hpp"

#include <flaxtiller/core/rcu_cell.hpp>
#include <flaxtiller/distribution/confirmation_validity.hpp>
#include <flaxtiller/distribution/control_replica_selector.hpp>
#include <flaxtiller/distribution/leader_contact.hpp>
#include <flaxtiller/distribution/replica_discovery.hpp>
#include <flaxtiller/distribution/subscriber.hpp>
#include <flaxtiller/registration/live_placement.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;

/// @brief An immutable snapshot that requests read without locks, by read-copy-update: the active placement,
/// and the runner of each service.
struct routing_snapshot
{
    std::shared_ptr<const placement> placed;
    std::map<service_name, std::shared_ptr<service_runner>> runners;
};

/// @brief The state and the components of an entry process, and the connections between them.
///
/// Members without a lock are used on @ref strand only, unless they are atomic or thread-safe. The member
/// functions are defined by topic: requests of callers and operators in entry_callers.cpp, messages from
/// other processes in entry_links.cpp, the configuration in entry_configuration.cpp, the list of the platform
/// in entry_platform_list.cpp, start and stop in entry_process.cpp.
struct entry_process::implementation
{
    static std::vector<std::string> names_of(const std::vector<named_address>& items);
    static http_server::limits limits_of(const entry_settings& settings, std::size_t connections);
    static service_coordinator::options options_of(const entry_settings& settings);

    implementation(entry_settings wanted, settings_source read_from)
        : settings(std::move(wanted)), source(std::move(read_from)), run_id(draw64()),
          strand(net::make_strand(io)), link_timer(strand), report_timer(strand), follow_check_timer(strand),
          pools_timer(strand), caller_watch_timer(strand), crash_resend_timer(strand), drain_timer(strand),
          routing_update_timer(strand), signals(io, SIGTERM, SIGINT, SIGHUP),
          links(hello{link_protocol_version,
                      "entry",
                      settings.instance.name,
                      run_id,
                      settings.instance.region,
                      settings.instance.availability_zone,
                      settings.link.str(),
                      {},
                      settings.process.memory_mb},
                counted, settings.links, settings.links,
                {[this](const std::shared_ptr<const hello>& from,
                        const std::shared_ptr<const link_message>& message)
                 {
                     on_message(from, message);
                 },
                 [this](const std::string& name, bool up)
                 {
                     on_reachable(name, up);
                 }}),
          registers(io, links, names_of(settings.control)), pools(io, counted),
          trace(settings.trace_file), runner_context{io,
                                                     pools,
                                                     links,
                                                     registers,
                                                     counted,
                                                     trace,
                                                     instance_name(settings.instance.name),
                                                     run_id,
                                                     options_of(settings)},
          current_snapshot(std::make_shared<const routing_snapshot>()), control(settings.control),
          region_of_zone(settings.region_of_zone),
          routed(settings.routed.port == 0
                     ? nullptr
                     : std::make_unique<routing_frontend>(
                           io, counted, registered_at, bounds.caller_connections, settings.routing,
                           settings.routed_names,
                           [this](const std::string& to, const link_message& message)
                           {
                               links.send(to, message);
                           },
                           [this](const std::set<instance_name>& owners)
                           {
                               net::post(strand,
                                         [this, owners]
                                         {
                                             link_to_entries(owners);
                                         });
                           },
                           [this](const crash_news& crash_update)
                           {
                               net::post(strand,
                                         [this, crash_update]
                                         {
                                             report_crash_records(crash_update);
                                         });
                           },
                           [this](const limit_report& report, const std::string& coordinator)
                           {
                               net::post(strand,
                                         [this, report, coordinator]
                                         {
                                             report_to_witnesses(report, coordinator);
                                         });
                           })),
          callers(io, limits_of(settings, bounds.caller_connections),
                  [this](const http_request& request, http_server::respond respond)
                  {
                      on_caller(request, std::move(respond));
                  }),
          operators(io, limits_of(settings, bounds.other_connections),
                    [this](const http_request& request, http_server::respond respond)
                    {
                        on_operator(request, std::move(respond));
                    })
    {
        set_message_memory(bounds);
    }

    entry_settings settings;
    const resource_bounds bounds = bounds_of(settings.process);
    settings_source source;
    const std::uint64_t run_id;
    net::io_context io;
    net::strand<net::io_context::executor_type> strand;
    net::steady_timer link_timer;
    net::steady_timer report_timer;
    /// Expires when the selection of a control replica is to be repeated.
    net::steady_timer follow_check_timer;
    net::steady_timer pools_timer;
    net::steady_timer caller_watch_timer;
    net::steady_timer crash_resend_timer;
    net::steady_timer drain_timer;
    net::steady_timer routing_update_timer;
    net::signal_set signals;
    monotonic_clock clock;
    metrics counted;
    peer_links links;
    register_client registers;
    pools_by_server<backend_pool> pools;
    trace_writer trace;
    service_runner_context runner_context;
    rcu_cell<routing_snapshot> current_snapshot;
    distribution::subscriber subscriber;
    /// The control replicas to which the last usage report for witnesses was sent.
    std::set<std::string> witnesses;
    /// When a leader last confirmed the active revision, in microseconds of the monotonic clock; 0 for never.
    std::atomic<std::int64_t> confirmed_at_us{0};
    /// Until when this proves what the configuration lacks, likewise.
    std::atomic<std::int64_t> confirmed_until_us{0};
    const distribution::confirmation_validity validity{settings.bounds};
    std::atomic<bool> draining{false};
    time_point drain_deadline{};
    /// When all requests still in flight are given their final answers.
    time_point final_answers_at{};
    /// Whether the connections of callers are being closed.
    bool closing = false;
    /// Whether these final answers were sent.
    bool final_answers_sent = false;
    /// New connections are accepted at least until then, since the load balancer takes time to notice the
    /// drain.
    time_point earliest_drain_end{};
    suspension_watch suspension_detector;
    std::set<std::string> reachable;
    known_control_replicas control;
    const shared_value<std::map<std::string, std::string>> region_of_zone;
    /// Used by the frontend, which is destroyed before.
    registration_times registered_at;
    std::unique_ptr<routing_frontend> routed;
    registry registered;
    warmup_tracker warmups;
    /// The backend servers that may receive routed requests: the declared ones and the registered ones.
    live_placement routed_placement;
    /// Number of entry instances that share the backend servers, as counted by the leader; 0 if unknown.
    int entry_count = 0;
    /// The other entries, by name, from the entry list of a leader.
    std::map<instance_name, entry_peer> listed_entries;
    /// The same entries in the form that the router uses, and the ones among them that are unreachable.
    shared_value<std::vector<entry_peer>> listed_peers;
    shared_value<std::set<instance_name>> unreachable;
    /// The entries that this entry keeps links to, and when each link was last needed.
    std::map<instance_name, time_point> linked_entries;
    /// The routes of the active revision.
    std::shared_ptr<const route_table> routes = std::make_shared<const route_table>();
    /// The teams of the active revision.
    std::shared_ptr<const team_table> teams = std::make_shared<const team_table>();
    bool routing_update_pending = false;
    /// Number of changes of registrations since an update of the routing was last scheduled.
    std::size_t changes_since_update = 0;
    /// The evacuated availability zones of the active revision.
    std::set<std::string> evacuated_zones;
    /// The replica that last confirmed the current revision under its leader lease, or that another replica
    /// named as the leader since; and the time of this message.
    std::string leader;
    time_point leader_contact_at{};
    time_point leader_reported_at{};
    /// The interval at which the leader expects reports from this entry.
    duration leader_report_interval = duration::from_ms(1000);
    std::int64_t leader_revision = 0;
    /// Selects the control replica from which this entry receives updates.
    distribution::control_replica_selector control_choice{settings.bounds.apply};
    /// Whether this entry is in contact with the leader.
    distribution::leader_contact contact{clock.now()};
    bool contact_lost = false;
    /// Decides which entries to ask for the control replicas while there is no contact, and the entries that
    /// are dialled for that.
    distribution::replica_discovery discovery{run_id};
    std::vector<std::string> dialled_for_discovery;
    time_point next_contact_line_at{};
    settings_reload reloaded{source.text, settings.control,
                             [file = source.file](const std::string& text, findings& found)
                             {
                                 return parse_entry_settings(text, file, found).control;
                             }};
    time_point next_settings_reading_at{};
    /// The times at which the control replicas last answered a report.
    std::map<std::string, time_point> answered_at;
    bool reports_unanswered = false;
    std::map<backend_server_name, bool> leaving_by_server;
    caller_watch callers_watched{settings.process.memory_bytes()};
    std::thread platform_poller;
    std::atomic<bool> stopping{false};
    http_server callers;
    http_server operators;
    std::unique_ptr<http_server> gateway;

    // ------------------------------------------------------------------ callers

    void on_caller(const http_request& request, http_server::respond respond);

    http_reply health() const;

    void on_query(const http_request& request, http_server::respond respond);

    void answer(const query_answer& result, const http_server::respond& respond);

    void count(const query_answer& result);

    // ------------------------------------------------------------------ operators

    void on_operator(const http_request& request, http_server::respond respond);

    void dump(http_server::respond respond);

    nlohmann::json assemble_dump(const nlohmann::json& services);

    // ------------------------------------------------------------------ links

    void on_message(const std::shared_ptr<const hello>& from,
                    const std::shared_ptr<const link_message>& message);

    /// @brief Passes messages that concern routed requests to the routing frontend.
    /// @return whether the message was such a message
    bool on_routed(const hello& from, const std::shared_ptr<const link_message>& message);

    /// Handles messages on the state of the cluster: configuration, registrations, control replicas and
    /// entries.
    void on_cluster_message(const hello& from, const link_message& message);

    void on_registrations(const hello& from, const registration_update& update);

    static void log_registrations(const hello& from, const std::vector<registration>& changes);

    /// Handles the member list of a control replica.
    void on_control_members(const hello& from, const control_members& member_list);

    void on_control_replicas_changed();

    /// Schedules @ref update_routing after a short delay, so that changes within this delay are applied
    /// together.
    void schedule_routing_update();

    void update_routing();

    /// Updates the set of listed entries that are unreachable.
    void update_unreachable();

    /// Establishes links to the owners of the shards that callers request, and to a few entries of each other
    /// region.
    void link_to_entries(const std::set<instance_name>& owners);

    void on_entry_list(const entry_list& list);

    /// Sends crash records to the control replica that this entry follows, or to all control replicas if that
    /// replica is unreachable.
    void report_crash_records(const crash_news& crash_update);

    /// Sends a usage report of teams to the control replicas other than the rate limit coordinator.
    void report_to_witnesses(const limit_report& report, const std::string& coordinator);

    void set_rate_limit_coordinator(const std::string& name, bool contacted_now);

    /// Selects a few entries of each other region to link to. Each entry selects different ones, by a hash of
    /// both names, so that the number of links doesn't grow with the square of the number of instances.
    std::set<instance_name> remote_entries() const;

    /// @return the reachable control replicas with their distances: same availability zone, same region, or
    /// another region
    std::vector<distribution::control_replica_selector::candidate> control_candidates() const;

    void post_to_service(const service_name& service, coordinator_event event);

    void on_reachable(const std::string& name, bool up);

    // ------------------------------------------------------------------ configuration

    void on_update(const hello& from, const distribution::revision_update& update);

    void on_confirmation(const hello& from, const distribution::revision_confirmation& confirmation);

    void on_leader_named(const std::string& name);

    void update_confirmation_time();

    void apply_zone_changes();

    void apply_configuration();

    void send_reachable_peers(service_runner& runner);

    void send_platform_list(service_runner& runner);

    void update_links();

    void configure_pools(const placement& placed, const placement* before);

    bool is_first_reachable_owner(const service_name& service, int shard, const placement& placed) const;

    void report();

    /// Schedules a report at the time at which another control replica may have to be followed.
    void schedule_follow_check();

    /// Follows whether this entry is in contact with the leader.
    void track_leader_contact();

    /// Asks other entries for the control replicas while contact with the leader is lost.
    void search_control_replicas(time_point now);

    /// Dials these entries in addition to the linked ones.
    void dial_for_discovery(std::vector<std::string> names);

    /// Tells a process without contact to a leader the control replicas, if this entry has contact.
    void on_control_members_request(const hello& from, const control_members_request& request);

    void on_control_members_reply(const hello& from, const control_members_reply& reply);

    /// Logs that contact with the leader is lost, or restored, and at intervals that it stays lost.
    void log_leader_contact(time_point now);

    /// Reads the settings file again and takes the addresses of control replicas from it.
    void reload_settings(settings_reload::cause why);

    /// Reads the settings file again at intervals, since it may name control replicas that are present.
    void search_settings(time_point now);

    /// @return the known control replicas that are reachable
    std::vector<std::string> reachable_control_replicas() const;

    /// Logs once that the followed replica doesn't answer reports: a link may carry messages one way only.
    void log_unanswered_reports(time_point now);

    /// @return whether a leader has confirmed the configuration since the start, so that callers are served
    bool serves() const noexcept
    {
        return confirmed_at_us.load(std::memory_order_relaxed) != 0;
    }

    /// @return whether a leader's confirmation proves that what the configuration lacks doesn't exist
    bool is_confirmed() const
    {
        const time_point until(duration::from_us(confirmed_until_us.load(std::memory_order_relaxed)));
        return clock.now() < until;
    }

    // ------------------------------------------------------------------ instance list of the platform

    void poll_platform();

    void on_platform_list(const nlohmann::json& list);

    // ------------------------------------------------------------------ start, stop and timers

    /// After a suspension of the instance, handles all expired deadlines at once. Timers don't count the time
    /// of the suspension, so they would fire late.
    void check_suspension();

    /// @brief Calls @a work once after @a pause, unless the timer is cancelled or set again before that.
    template <typename Work>
    void after(net::steady_timer& timer, duration pause, Work work)
    {
        timer.expires_after(std::chrono::microseconds(pause.us()));
        timer.async_wait(
            [work](const boost::system::error_code& stopped)
            {
                if (!stopped)
                {
                    work();
                }
            });
    }

    /// @brief Calls @a work repeatedly.
    /// @param every returns the pause before the next call
    template <typename Interval, typename Work>
    void repeat(net::steady_timer& timer, Interval every, Work work)
    {
        after(timer, every(),
              [this, &timer, every, work]
              {
                  work();
                  repeat(timer, every, work);
              });
    }

    template <typename Work>
    void repeat(net::steady_timer& timer, duration every, Work work)
    {
        repeat(
            timer,
            [every]
            {
                return every;
            },
            work);
    }

    void on_signal();

    void drain();

    void check_drained(int idle_checks);
};

} // namespace flaxtiller::shell
