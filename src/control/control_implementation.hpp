#pragma once

#include "control_process.hpp"

#include "crash_record_distributor.hpp"
#include "http/http_server.hpp"
#include "leaderless_report.hpp"
#include "links/peer_links.hpp"
#include "process/caller_watch.hpp"
#include "process/log.hpp"
#include "process/suspension_watch.hpp"
#include "process/system.hpp"
#include "registration_distributor.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/replica_discovery.hpp>
#include <flaxtiller/distribution/report_interval.hpp>
#include <flaxtiller/quorum/membership_planner.hpp>
#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/quorum/replicated_state_machine.hpp>
#include <flaxtiller/register/register_state.hpp>
#include <flaxtiller/registration/heartbeat_admission.hpp>
#include <flaxtiller/teams/rate_limit_coordinator.hpp>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

namespace net = boost::asio;

/// The names of the two replicated logs in messages between processes, which are also their folder names.
inline constexpr const char* catalog_log = "catalog";
inline constexpr const char* register_log = "register";

/// An instance is counted among those that share the backend servers for this time after its last report.
inline constexpr duration instance_age = duration::from_ms(10000);

using catalog_machine = quorum::replicated_state_machine<catalog_state, quorum::posix_file_system>;
using register_machine = quorum::replicated_state_machine<register_state, quorum::posix_file_system>;

/// @brief The components of a control process and their connections.
///
/// All member functions run on one strand. The member functions are defined by topic: state changes and
/// timers in control_decisions.cpp, messages of other processes in control_links.cpp, the HTTP interface for
/// operators in control_operators.cpp, and the public functions of the process in control_process.cpp.
struct control_process::implementation
{
    static http_server::limits http_limits_of(const control_settings& settings, std::size_t connections);

    implementation(control_settings requested, settings_source read_from)
        : settings(std::move(requested)), source(std::move(read_from)), strand(net::make_strand(io)),
          timer(strand), signals(strand, SIGTERM, SIGINT, SIGHUP),
          links(hello{link_protocol_version,
                      "control",
                      settings.replica.name,
                      draw64(),
                      settings.replica.region,
                      settings.replica.availability_zone,
                      settings.link.str(),
                      {},
                      settings.process.memory_mb},
                counted, link_timing_between_replicas(settings.links, settings.timing), settings.links,
                {[this](const std::shared_ptr<const hello>& from,
                        const std::shared_ptr<const link_message>& message)
                 {
                     net::post(strand,
                               [this, from, message]
                               {
                                   on_message(*from, *message);
                               });
                 },
                 [this](const std::string& name, bool up)
                 {
                     net::post(strand,
                               [this, name, up]
                               {
                                   on_reachable(name, up);
                               });
                 }}),
          catalog(files, settings.data_folder + "/" + catalog_log,
                  quorum::replica_name(settings.replica.name), settings.timing),
          registers(files, settings.data_folder + "/" + register_log,
                    quorum::replica_name(settings.replica.name), settings.timing),
          registrations(
              links, settings.replica.name, settings.data_folder + "/registrations",
              [this]
              {
                  net::post(strand,
                            [this]
                            {
                                registrations.on_saved(clock.now());
                            });
              },
              settings.registration_silence, digest_timing_within(settings.bounds), clock.now()),
          crash_records(links, settings.data_folder + "/crash_records"),
          rate_limits(settings.limit_tolerance), membership(settings.keeper),
          operators(io, http_limits_of(settings, bounds.other_connections),
                    [this](const http_request& request, http_server::respond respond)
                    {
                        net::post(strand,
                                  [this, request, respond]
                                  {
                                      on_operator(request, respond);
                                  });
                    })
    {
        set_message_memory(bounds);
    }

    control_settings settings;
    const resource_bounds bounds = bounds_of(settings.process);
    settings_source source;
    net::io_context io;
    net::strand<net::io_context::executor_type> strand;
    net::steady_timer timer;
    net::signal_set signals;
    monotonic_clock clock;
    metrics counted;
    peer_links links;
    quorum::posix_file_system files;
    deployment_id deployment;
    const std::string deployment_path = settings.data_folder + "/" + catalog_log + "/deployment";
    catalog_machine catalog;
    register_machine registers;
    distribution::publisher publisher;
    registration_distributor registrations;
    crash_record_distributor crash_records;
    rate_limit_coordinator rate_limits;
    /// The role in which this replica acted as the rate limit coordinator: as the leader of a term, or as the
    /// substitute while there is no leader.
    struct rate_limit_role
    {
        bool is_substitute = false;
        quorum::term_number term = 0;

        bool operator==(const rate_limit_role&) const = default;
    };
    rate_limit_role last_rate_limit_role;
    leaderless_report catalog_leaderless{catalog_log};
    leaderless_report register_leaderless{register_log};
    settings_reload reloaded{source.text, settings.replicas,
                             [this](const std::string& text, findings& found)
                             {
                                 return read_seeds_again(text, found);
                             }};
    time_point next_settings_reading_at{};
    time_point next_limit_share_at{};
    quorum::membership_planner membership;
    http_server operators;
    std::unique_ptr<http_server> gateway;
    caller_watch callers_watched{settings.process.memory_bytes()};
    time_point next_caller_check_at{};
    time_point next_notice_at{};
    time_point next_membership_check_at{};
    /// The announcements of the reachable replicas about their log folders, by log and name.
    std::map<std::string, std::map<quorum::replica_name, quorum::announcement>> announced;
    /// The places of this replica and of all others that ever had a link to this process.
    std::map<quorum::replica_name, quorum::replica_place> replica_places{
        {quorum::replica_name(settings.replica.name),
         {settings.replica.availability_zone, settings.replica.region}}};
    /// The entries by name, and the list of all entries that was last sent to each of them.
    std::map<std::string, entry_peer> entries;
    std::map<std::string, std::shared_ptr<const std::vector<entry_peer>>> sent_entry_lists;
    time_point next_entry_lists_at{};
    /// The number of entries that reported recently, 0 if unknown, and the time of the next count.
    int entry_count = 0;
    time_point next_entry_count_at{};
    time_point next_link_tick_at{};
    /// The replicas that links were last requested to, and that registrations are exchanged with.
    std::set<std::string> linked_replicas;
    /// Decides which entries to ask for the control replicas while no leader is known, and the replicas that
    /// they named.
    distribution::replica_discovery discovery{draw64()};
    std::set<std::string> named_by_entries;
    /// The entries that are dialled to ask them.
    std::vector<std::string> dialled_for_discovery;
    /// The replicas that the seeds named to this one, for as long as it is in no log.
    std::set<std::string> named_by_seeds;
    suspension_watch suspensions;
    bool pump_posted = false;
    /// Whether the replica of the catalog granted no votes yet, at the last check, since a lease that it
    /// supported before its restart may still be valid.
    bool waits_for_previous_lease = false;
    bool was_leader = false;
    time_point leader_since{};
    const time_point started_at = clock.now();
    /// The reachable replicas and entries. Copying the names from the links at each tick would cost the more,
    /// the more entries there are.
    std::set<std::string> reachable_names;
    heartbeat_admission heartbeats;
    bool refuses_heartbeats = false;
    bool was_authoritative = false;
    /// The revision that was last confirmed to all entries.
    std::int64_t confirmed_revision = 0;
    std::error_code reported_storage_error;

    // ------------------------------------------------------------------ state changes and timers

    /// Schedules @ref pump. Commands that arrive before it runs share one sync to disk.
    void schedule_pump();

    void pump();

    /// @return whether the log itself defines the member set, instead of the settings
    bool is_self_forming() const;

    std::set<std::string> replica_names();

    /// @return the replicas that this one links to: the members, and those that entries or seeds named
    std::set<std::string> contact_names();

    /// Asks entries for the control replicas while no leader is known: all members that this replica knows
    /// may have been replaced.
    void search_replicas(time_point now);

    /// @return whether the catalog log of this replica is empty: it is new, or lost its disk
    bool is_without_members();

    /// Links a new replica to the members that its seeds name. The leader, which adds it, may be no seed.
    void on_control_members(const hello& from, const control_members& list);

    void on_control_members_reply(const hello& from, const control_members_reply& reply);

    /// Dials the linked replicas, and the entries that are to be asked for control replicas.
    void dial_peers();

    /// @return the seeds that the settings name; those in force if the set doesn't form itself
    std::vector<named_address> read_seeds_again(const std::string& text, findings& found) const;

    /// Reads the settings file again and takes the seeds from it. Logs are created at the start only.
    void reload_settings(settings_reload::cause why);

    /// Reads the settings file again at intervals while no leader is known, since it may name replicas that
    /// are present.
    void search_settings(time_point now);

    /// Requests links to all members. In a self-forming set, the name of a replica is the address of its
    /// link.
    void link_to_members();

    /// Repairs the member set if this replica leads. See quorum::membership_planner.
    template <typename Machine>
    void maintain_membership(Machine& machine, const char* log_name, time_point now)
    {
        quorum::replica* node = machine.node();
        if (node == nullptr || !is_self_forming() || !node->is_ready_leader())
        {
            return;
        }
        const auto requested = membership.next(
            {node->name(), node->members(), node->others(), announced[log_name], replica_places}, now);
        if (!requested)
        {
            return;
        }
        const bool is_addition = requested->operation == quorum::member_change::kind::add;
        const std::error_code refused = is_addition
                                            ? node->add_member(requested->name, requested->incarnation, now)
                                            : node->remove_member(requested->name, now);
        if (!refused)
        {
            log(log_level::info, "members_mended",
                {{"log", log_name},
                 {"change", is_addition ? "add_learner" : "remove"},
                 {"replica", requested->name.str()},
                 {"incarnation", requested->incarnation},
                 {"voters", node->members().voters()},
                 {"term", node->term()}});
        }
    }

    void send(const char* log_name, const quorum::message& message);

    void publish();

    /// @brief Reads the deployment that this replica belonged to before its restart. Until a leader commits
    /// something, the replica doesn't know which part of its log is committed.
    void load_deployment();

    /// @brief Keeps the deployment in a file beside the log, with which it is lost, and in the handshakes.
    void set_deployment(const deployment_id& own);

    void track_state_changes();

    /// Confirms the revision to all entries when this replica becomes authoritative, as they may be waiting
    /// for the confirmation of a leader, and when the revision changes: the replica that an entry follows may
    /// lag behind.
    void confirm_revision_to_entries(time_point now);

    bool knows_all_entries(time_point now) const;

    bool all_linked_entries_reported(time_point now) const;

    int counted_entries(time_point now);

    /// @return the interval at which entries report to this replica while it leads
    distribution::report_interval pace() const noexcept
    {
        return distribution::report_interval(entry_count);
    }

    distribution::revision_confirmation confirmation(time_point now);

    /// Decides whether heartbeats of backend servers are confirmed, and logs when that changes.
    void track_contact(time_point now);

    /// Announces the incarnations of both logs of this replica.
    void send_notices(const std::vector<std::string>& receivers);

    void on_reachable(const std::string& name, bool up);

    /// @return the entries that report to this replica
    std::vector<std::string> entry_names() const;

    void tick();

    // ------------------------------------------------------------------ links

    void on_message(const hello& from, const link_message& message);

    void on_registrations(const hello& from, const link_message& message, time_point now);

    void on_report(const hello& from, const distribution::revision_report& report, time_point now);

    /// @return whether this replica acts as the rate limit coordinator. The leader does; without a leader,
    /// the first of the replicas by name does, so that entries never find two coordinators among the replicas
    /// that they reach.
    bool acts_as_rate_limit_coordinator(time_point now);

    /// @return whether this replica substitutes for the rate limit coordinator: no leader has been known for
    /// a while, this replica is the first one by name, and entries reach it
    bool substitutes_for_rate_limit_coordinator(time_point now);

    /// @return the share of the limits that this replica may grant, given the number of all entries
    double reachable_limit_share(int all_entries, time_point now);

    /// Handles the report of an entry if this replica acts as the rate limit coordinator, or as a witness.
    void on_limit_report(const hello& from, const limit_report& report, time_point now);

    void send_limit_statuses(bool coordinates, time_point now);

    /// @return the names of the entries that have a link to this replica
    std::vector<std::string> linked_entry_names() const;

    /// Sends the list of all entries, or its changes, to each entry. For leaders only.
    void send_entry_lists(time_point now);

    void on_register_call(const hello& from, const register_call& call, time_point now);

    // ------------------------------------------------------------------ operators

    void on_operator(const http_request& request, const http_server::respond& respond);

    http_reply not_leader() const;

    /// @return the limits on a configuration, which must fit into the smallest process that holds it
    document_bounds configuration_bounds() const;

    std::optional<change> read_change(const http_request& request, http_reply& refusal) const;

    /// @return whether the settings contain this availability zone; true for any name if they contain none
    bool knows_zone(const std::string& zone) const;

    /// @return an error if the change evacuates an availability zone that the settings don't contain
    findings check_availability_zone(const change& requested) const;

    static int status_of(const change_result& result);

    void on_change(const http_request& request, const http_server::respond& respond);

    /// Proposes a change to the catalog log. @a done is called when the change is committed, or with an error
    /// when that is uncertain.
    void submit(change requested, std::function<void(std::error_code, const change_result&)> done);
    void refuse(const change& requested, const findings& errors,
                const std::function<void(std::error_code, const change_result&)>& done);

    void on_signal();

    void on_preview(const http_request& request, const http_server::respond& respond);

    static nlohmann::json moved_shards(const configuration& before, const configuration& after);

    void on_configuration(const http_server::respond& respond);

    void on_status(const http_server::respond& respond);

    void on_members(const http_request& request, const http_server::respond& respond);

    template <typename Machine>
    static bool leads(Machine& machine)
    {
        const quorum::replica* node = machine.node();
        return node != nullptr && node->role() == quorum::role::leader;
    }

    /// Changes the member set if this replica leads the log, and forwards the request to the leader
    /// otherwise.
    /// @return no error if the change is in the log of this replica
    template <typename Machine>
    std::error_code change_members(Machine& machine, const char* log_name, member_request requested)
    {
        const quorum::replica_name name(requested.name);
        quorum::replica* node = machine.node();
        if (node == nullptr)
        {
            return errc::storage_failed;
        }
        const auto& known = announced[log_name];
        const auto announced_member = known.find(name);
        const bool is_removal = requested.action == "remove";
        if (!is_removal && announced_member == known.end())
        {
            return errc::unreachable;
        }
        if (leads(machine))
        {
            return is_removal ? node->remove_member(name, clock.now())
                              : node->add_member(name, announced_member->second.incarnation, clock.now());
        }
        const auto member = node->members().members.find(name);
        const bool is_member = member != node->members().members.end();
        const bool done =
            is_removal ? !is_member
                       : is_member && member->second.incarnation == announced_member->second.incarnation;
        if (done)
        {
            return {};
        }
        requested.log = log_name;
        links.send(node->leader().str(), requested);
        return errc::not_committed;
    }

    void on_member_request(const hello& from, const member_request& requested);

    // ------------------------------------------------------------------ inspection

    nlohmann::json dump();

    nlohmann::json metrics_dump();

    /// @return the incarnation of an initial member, which all initial members can compute. A folder that is
    /// created later gets a random incarnation, so that a wiped initial member isn't taken for the original
    /// one.
    static quorum::incarnation_id founding_incarnation(const quorum::replica_name& name);

    /// Creates a new log with the seeds of the settings as its voters, unless the folder contains a log.
    template <typename Machine>
    void bootstrap_from_seeds(Machine& machine, const char* log_name)
    {
        quorum::member_set founders;
        for (const named_address& seed : settings.replicas)
        {
            const quorum::replica_name name(seed.name);
            founders.members[name] = quorum::member{name, founding_incarnation(name), true};
        }
        const bool is_founder = founders.members.count(quorum::replica_name(settings.replica.name)) > 0;
        if (is_founder && !machine.found(std::move(founders), clock.now()))
        {
            log(log_level::info, "log_founded", {{"log", log_name}, {"founders", settings.replicas.size()}});
        }
    }

    template <typename Machine>
    void open_machine(Machine& machine, const char* log_name, findings& errors)
    {
        const std::string folder = settings.data_folder + "/" + log_name;
        std::error_code failed;
        std::filesystem::create_directories(folder, failed);
        if (!failed)
        {
            const bool bootstraps = is_self_forming() && settings.founding;
            const auto own = quorum::replica_name(settings.replica.name);
            failed = machine.open(bootstraps ? founding_incarnation(own) : draw64(), draw64(), clock.now());
        }
        if (!failed && is_self_forming() && settings.founding)
        {
            bootstrap_from_seeds(machine, log_name);
        }
        if (failed)
        {
            errors.error(failed.category() == error_category() ? static_cast<errc>(failed.value())
                                                               : errc::storage_failed,
                         "/data_folder", folder + ": " + failed.message());
        }
        if (!machine.storage_warning().empty())
        {
            log(log_level::warning, "storage_repaired",
                {{"log", log_name}, {"what", machine.storage_warning()}});
        }
    }
};

} // namespace flaxtiller::shell
