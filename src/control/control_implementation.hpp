#pragma once

#include "control_process.hpp"

#include "shell/crash_record_distributor.hpp"
#include "shell/http_server.hpp"
#include "shell/log.hpp"
#include "shell/peer_links.hpp"
#include "shell/registration_distributor.hpp"
#include "shell/suspension_watch.hpp"
#include "shell/system.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/distribution/report_pace.hpp>
#include <flaxtiller/quorum/member_keeper.hpp>
#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/quorum/replicated_machine.hpp>
#include <flaxtiller/register/register_state.hpp>
#include <flaxtiller/teams/rate_ledger.hpp>

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

/// The names of the two replicated logs, between processes and as folders.
inline constexpr const char* catalog_log = "catalog";
inline constexpr const char* register_log = "register";

/// An instance counts as sharing the backend servers for this long after its last report.
inline constexpr duration instance_age = duration::from_ms(10000);

using catalog_machine = quorum::replicated_machine<catalog_state, quorum::posix_file_system>;
using register_machine = quorum::replicated_machine<register_state, quorum::posix_file_system>;

/// @brief The parts of a control process and how they hang together. Its members are defined by job:
/// control_decisions.cpp, control_links.cpp, control_operators.cpp, control_process.cpp.
struct control_process::implementation
{
    static http_server::limits limits_of(const control_settings& settings);

    explicit implementation(control_settings wanted)
        : settings(std::move(wanted)), strand(net::make_strand(io)), timer(strand),
          signals(strand, SIGTERM, SIGINT, SIGHUP),
          links(hello{link_protocol_version, "control", settings.replica.name, draw64(),
                      settings.replica.region, settings.replica.availability_zone, settings.link.str()},
                counted, settings.links,
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
          hub(links, settings.data_folder + "/registrations", settings.registration_silence, clock.now()),
          crashes(links, settings.data_folder + "/crash_records"), limits(settings.limit_tolerance),
          keeper(settings.keeper), operators(io, limits_of(settings),
                                             [this](const http_request& request, http_server::respond respond)
                                             {
                                                 net::post(strand,
                                                           [this, request, respond]
                                                           {
                                                               on_operator(request, respond);
                                                           });
                                             })
    {
    }

    control_settings settings;
    net::io_context io;
    net::strand<net::io_context::executor_type> strand;
    net::steady_timer timer;
    net::signal_set signals;
    monotonic_clock clock;
    metrics counted;
    peer_links links;
    quorum::posix_file_system files;
    catalog_machine catalog;
    register_machine registers;
    distribution::publisher publisher;
    registration_distributor hub;
    crash_record_distributor crashes;
    rate_ledger limits;
    /// As what this replica last kept the limits of teams.
    struct limit_keeping
    {
        bool stands_in = false;
        quorum::term_number term = 0;

        bool operator==(const limit_keeping&) const = default;
    };
    limit_keeping limits_kept;
    time_point leaderless_since = time_point::never();
    time_point share_limits_at{};
    quorum::member_keeper keeper;
    http_server operators;
    std::unique_ptr<http_server> gateway;
    time_point notice_at{};
    /// What the replicas that can be reached say they hold, by log and name.
    std::map<std::string, std::map<quorum::replica_name, quorum::announcement>> announced;
    /// Entries by name, and what each of them was last told of the others.
    std::map<std::string, entry_peer> entries;
    std::map<std::string, std::shared_ptr<const std::vector<entry_peer>>> told_entries;
    time_point tell_entries_at{};
    /// The entries heard lately, 0 while that isn't known, and when they are counted again.
    int entry_count = 0;
    time_point count_entries_at{};
    time_point tick_links_at{};
    /// The replicas that the hub was told of and that were linked to last.
    std::set<std::string> linked;
    suspension_watch suspensions;
    bool pump_posted = false;
    /// Whether the catalog's replica gave no vote yet, when last looked at.
    bool awaits_lease = false;
    bool led = false;
    time_point led_since{};
    const time_point started_at = clock.now();
    bool answered = false;
    std::error_code reported_storage_error;

    // ------------------------------------------------------------------ decisions

    /// Commands that arrive before the pump runs share one sync.
    void pump_soon();

    void pump();

    /// @return whether the replica's own log names its peers
    bool forms_itself() const;

    std::set<std::string> replica_names();

    /// Where the set forms itself, a replica's name is its link's address.
    void link_to_members();

    /// A leader mends the member set; see quorum::member_keeper.
    template <typename Machine>
    void keep_members(Machine& machine, const char* log_name, time_point now)
    {
        quorum::replica* node = machine.node();
        if (node == nullptr || !forms_itself() || !node->is_ready_leader())
        {
            return;
        }
        const auto wanted =
            keeper.next(node->name(), node->members(), node->others(), announced[log_name], now);
        if (!wanted)
        {
            return;
        }
        const bool adds = wanted->what == quorum::member_change::kind::add;
        const std::error_code refused = adds ? node->add_member(wanted->name, wanted->incarnation, now)
                                             : node->remove_member(wanted->name, now);
        if (!refused)
        {
            log(log_level::info, "members_mended",
                {{"log", log_name},
                 {"change", adds ? "add_learner" : "remove"},
                 {"replica", wanted->name.str()},
                 {"incarnation", wanted->incarnation},
                 {"term", node->term()}});
        }
    }

    void send(const char* log_name, const quorum::message& message);

    void publish();

    void note_changes();

    /// Once this replica may answer, entries that wait for a leader's word get it unasked.
    void confirm_to_entries(time_point now);

    bool knows_entries(time_point now) const;

    bool all_linked_reported(time_point now) const;

    int counted_entries(time_point now);

    /// How often entries report to this replica while it leads.
    distribution::report_pace pace() const noexcept
    {
        return distribution::report_pace(entry_count);
    }

    distribution::revision_confirmation confirmation(time_point now);

    template <typename Machine>
    void send_notice(Machine& machine, const char* log_name)
    {
        const quorum::replica* node = machine.node();
        if (node == nullptr)
        {
            return;
        }
        std::set<std::string> others = replica_names();
        others.erase(settings.replica.name);
        links.send(std::vector<std::string>(others.begin(), others.end()),
                   incarnation_notice{log_name, node->incarnation()});
    }

    void on_reachable(const std::string& name, bool up);

    /// @return the entries that report to this replica
    std::vector<std::string> entry_names() const;

    void tick();

    // ------------------------------------------------------------------ links

    void on_message(const hello& from, const link_message& message);

    void on_registrations(const hello& from, const link_message& message, time_point now);

    void on_report(const hello& from, const distribution::revision_report& report, time_point now);

    /// Whether this replica keeps the limits of teams: the leader does, and while there is none the first of
    /// the replicas by name, so that two never do for entries that reach both.
    bool keeps_limits(time_point now);

    /// Whether there has been no leader for a while, this replica is the first by name, and entries reach it.
    bool stands_in_for_limits(time_point now);

    /// @return the share of the limits that this replica keeps, of entries that are so many in all
    double limits_share(int all_entries, time_point now);

    /// Keeps the limits of teams over all entries.
    void on_limit_report(const hello& from, const limit_report& report, time_point now);

    /// A leader tells the entries of one another.
    void tell_entries(time_point now);

    void on_register_call(const hello& from, const register_call& call, time_point now);

    // ------------------------------------------------------------------ operators

    void on_operator(const http_request& request, const http_server::respond& respond);

    http_reply not_leader() const;

    static std::optional<change> read_change(const http_request& request, http_reply& refusal);

    /// @return whether the settings name this availability zone; true for all where they name none
    bool knows_zone(const std::string& zone) const;

    /// @return a finding where an evacuation names an availability zone that the settings don't
    findings check_zone(const change& wanted) const;

    static int status_of(const change_result& result);

    void on_change(const http_request& request, const http_server::respond& respond);

    /// Puts a change into the log; @a done is called once it is committed, or can't be known to be.
    void submit(change wanted, std::function<void(std::error_code, const change_result&)> done);

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

    /// Makes the change if this replica leads the log, and asks the leader for it if not.
    /// @return nothing once the change is in this replica's log
    template <typename Machine>
    std::error_code change_members(Machine& machine, const char* log_name, member_request wanted)
    {
        const quorum::replica_name name(wanted.name);
        quorum::replica* node = machine.node();
        if (node == nullptr)
        {
            return errc::storage_failed;
        }
        const auto& known = announced[log_name];
        const auto holds = known.find(name);
        const bool removes = wanted.action == "remove";
        if (!removes && holds == known.end())
        {
            return errc::unreachable;
        }
        if (leads(machine))
        {
            return removes ? node->remove_member(name, clock.now())
                           : node->add_member(name, holds->second.incarnation, clock.now());
        }
        const auto member = node->members().members.find(name);
        const bool is_member = member != node->members().members.end();
        const bool done =
            removes ? !is_member : is_member && member->second.incarnation == holds->second.incarnation;
        if (done)
        {
            return {};
        }
        wanted.log = log_name;
        links.send(node->leader().str(), wanted);
        return errc::not_committed;
    }

    void on_member_request(const hello& from, const member_request& wanted);

    // ------------------------------------------------------------------ inspection

    nlohmann::json dump();

    /// The founders' incarnations are known to all of them beforehand. A folder that is made later draws its
    /// own, so that a wiped founder doesn't pass for the first one.
    static quorum::incarnation_id founding_incarnation(const quorum::replica_name& name);

    /// Makes the seeds the voters of a new log, unless the folder holds one already.
    template <typename Machine>
    void found_together(Machine& machine, const char* log_name)
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
    void open_machine(Machine& machine, const char* log_name, findings& found)
    {
        const std::string folder = settings.data_folder + "/" + log_name;
        std::error_code failed;
        std::filesystem::create_directories(folder, failed);
        if (!failed)
        {
            const bool founds = forms_itself() && settings.founding;
            const auto own = quorum::replica_name(settings.replica.name);
            failed = machine.open(founds ? founding_incarnation(own) : draw64(), draw64(), clock.now());
        }
        if (!failed && forms_itself() && settings.founding)
        {
            found_together(machine, log_name);
        }
        if (failed)
        {
            found.error(failed.category() == error_category() ? static_cast<errc>(failed.value())
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
