#include "control_process.hpp"

#include "http_server.hpp"
#include "http_status.hpp"
#include "json_reply.hpp"
#include "log.hpp"
#include "machine_dump.hpp"
#include "peer_links.hpp"
#include "registration_hub.hpp"
#include "run_guarded.hpp"
#include "system.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/catalog/diff.hpp>
#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/distribution/publisher.hpp>
#include <flaxtiller/quorum/posix_file_system.hpp>
#include <flaxtiller/quorum/replicated_machine.hpp>
#include <flaxtiller/register/register_state.hpp>

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <filesystem>

namespace flaxtiller::shell
{

namespace net = boost::asio;

namespace
{

constexpr duration tick_every = duration::from_ms(10);
constexpr duration notice_every = duration::from_ms(500);
/// An entry is named to the others for this long after its last report.
constexpr duration listed_entry_age = duration::from_ms(3000);
/// An instance counts as sharing the backend servers for this long after its last report.
constexpr duration instance_age = duration::from_ms(10000);

constexpr const char* catalog_log = "catalog";
constexpr const char* register_log = "register";

using catalog_machine = quorum::replicated_machine<catalog_state, quorum::posix_file_system>;
using register_machine = quorum::replicated_machine<register_state, quorum::posix_file_system>;

http_server::limits limits_of(const control_settings& settings)
{
    http_server::limits limits;
    limits.most_body_bytes = static_cast<std::size_t>(settings.most_request_bytes);
    limits.request_timeout_ms = settings.request_timeout_ms;
    return limits;
}

} // namespace

struct control_process::implementation
{
    explicit implementation(control_settings wanted)
        : settings(std::move(wanted)), strand(net::make_strand(io)), timer(strand),
          signals(strand, SIGTERM, SIGINT, SIGHUP),
          links(hello{link_protocol_version, "control", settings.replica.name, draw64(),
                      settings.replica.region, settings.link.str()},
                counted, settings.links,
                {[this](const hello& from, const link_message& message)
                 {
                     net::post(strand,
                               [this, from, message]
                               {
                                   on_message(from, message);
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
          hub(links, settings.registration_silence, clock.now()), keeper(settings.keeper),
          operators(io, limits_of(settings),
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
    registration_hub hub;
    quorum::member_keeper keeper;
    http_server operators;
    std::unique_ptr<http_server> gateway;
    time_point notice_at{};
    /// What the replicas that can be reached say they hold, by log and name.
    std::map<std::string, std::map<quorum::replica_name, quorum::announcement>> announced;
    /// Entries by name, and what each of them was last told of the others.
    std::map<std::string, entry_peer> entries;
    std::map<std::string, std::vector<entry_peer>> told_entries;
    /// The replicas of the last member set that was linked to.
    std::set<std::string> linked;
    bool pump_posted = false;
    bool led = false;
    std::error_code reported_storage_error;

    // ------------------------------------------------------------------ decisions

    /// Commands that arrive before the pump runs share one sync.
    void pump_soon()
    {
        if (!pump_posted)
        {
            pump_posted = true;
            net::post(strand,
                      [this]
                      {
                          pump();
                      });
        }
    }

    void pump()
    {
        pump_posted = false;
        const time_point now = clock.now();
        catalog.pump(
            [this](const quorum::message& message)
            {
                send(catalog_log, message);
            },
            now);
        registers.pump(
            [this](const quorum::message& message)
            {
                send(register_log, message);
            },
            now);
        publish();
        note_changes();
        link_to_members();
    }

    /// @return whether the replica's own log names its peers
    bool forms_itself() const
    {
        return settings.self_forming;
    }

    std::set<std::string> replica_names()
    {
        std::set<std::string> names;
        for (const named_address& seed : settings.replicas)
        {
            names.insert(seed.name);
        }
        if (const quorum::replica* node = catalog.node(); node != nullptr && forms_itself())
        {
            for (const auto& [name, item] : node->members().members)
            {
                names.insert(name.str());
            }
        }
        return names;
    }

    /// Where the set forms itself, a replica's name is its link's address.
    void link_to_members()
    {
        std::set<std::string> names = replica_names();
        if (!forms_itself() || names == linked)
        {
            return;
        }
        linked = std::move(names);
        std::vector<named_address> peers;
        for (const std::string& name : linked)
        {
            if (const auto at = parse_address(name))
            {
                peers.push_back({name, *at});
            }
        }
        links.want(peers);
        const control_members told{{linked.begin(), linked.end()}};
        for (const std::string& peer : links.reachable())
        {
            links.send(peer, told);
        }
    }

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

    void send(const char* log_name, const quorum::message& message)
    {
        links.send(message.to.str(), quorum_envelope{log_name, message});
    }

    void publish()
    {
        const time_point now = clock.now();
        const catalog_state& state = catalog.state();
        if (state.revision() > publisher.revision())
        {
            publisher.on_revision(state.revision(), std::make_shared<const configuration>(state.current()));
        }
        if (!catalog.may_answer(now))
        {
            return;
        }
        for (const auto& update : publisher.take_updates(now))
        {
            links.send(update.to.str(), update.update);
        }
    }

    void note_changes()
    {
        quorum::replica* node = catalog.node();
        const bool leads = node != nullptr && node->is_ready_leader();
        if (leads != led)
        {
            led = leads;
            log(log_level::info, leads ? "leading" : "not_leading", {{"term", node ? node->term() : 0}});
        }
        const std::error_code now_failing =
            catalog.storage_error() ? catalog.storage_error() : registers.storage_error();
        if (now_failing != reported_storage_error)
        {
            reported_storage_error = now_failing;
            log(now_failing ? log_level::error : log_level::info,
                now_failing ? "storage_failing" : "storage_recovered",
                {{"error", now_failing.message()}, {"folder", settings.data_folder}});
        }
    }

    template <typename Machine>
    void send_notice(Machine& machine, const char* log_name)
    {
        const quorum::replica* node = machine.node();
        for (const std::string& replica : replica_names())
        {
            if (node != nullptr && replica != settings.replica.name)
            {
                links.send(replica, incarnation_notice{log_name, node->incarnation()});
            }
        }
    }

    void on_reachable(const std::string& name, bool up)
    {
        told_entries.erase(name);
        if (!up)
        {
            // It may come back with another folder.
            announced[catalog_log].erase(quorum::replica_name(name));
            announced[register_log].erase(quorum::replica_name(name));
            return;
        }
        hub.on_reachable(name);
        if (forms_itself())
        {
            const std::set<std::string> names = replica_names();
            links.send(name, control_members{{names.begin(), names.end()}});
        }
    }

    void tick()
    {
        const time_point now = clock.now();
        links.tick();
        catalog.tick(now);
        registers.tick(now);
        pump();
        if (now >= notice_at)
        {
            notice_at = now + notice_every;
            send_notice(catalog, catalog_log);
            send_notice(registers, register_log);
            keep_members(catalog, catalog_log, now);
            keep_members(registers, register_log, now);
        }
        hub.tick(replica_names(), catalog.may_answer(now), now);
        if (catalog.may_answer(now))
        {
            tell_entries(now);
        }
        timer.expires_after(std::chrono::microseconds(tick_every.us()));
        timer.async_wait(
            [this](const boost::system::error_code& stopped)
            {
                if (!stopped)
                {
                    tick();
                }
            });
    }

    // ------------------------------------------------------------------ links

    void on_message(const hello& from, const link_message& message)
    {
        const time_point now = clock.now();
        if (const auto* envelope = std::get_if<quorum_envelope>(&message))
        {
            if (envelope->log == catalog_log)
            {
                catalog.receive(envelope->message, now);
            }
            else if (envelope->log == register_log)
            {
                registers.receive(envelope->message, now);
            }
            pump_soon();
        }
        else if (const auto* notice = std::get_if<incarnation_notice>(&message))
        {
            announced[notice->log][quorum::replica_name(from.name)] = {notice->incarnation, now};
        }
        else if (const auto* report = std::get_if<distribution::revision_report>(&message))
        {
            on_report(from, *report, now);
        }
        else if (const auto* call = std::get_if<register_call>(&message))
        {
            on_register_call(from, *call, now);
        }
        else
        {
            on_registrations(from, message, now);
        }
    }

    void on_registrations(const hello& from, const link_message& message, time_point now)
    {
        if (const auto* update = std::get_if<registration_update>(&message))
        {
            hub.on_update(from.name, *update, now);
        }
        else if (const auto* heard = std::get_if<registration_heard>(&message))
        {
            hub.on_heard(*heard, now);
        }
        else if (const auto* digest = std::get_if<registration_digest>(&message))
        {
            hub.on_digest(from.name, *digest, now);
        }
    }

    void on_report(const hello& from, const distribution::revision_report& report, time_point now)
    {
        publisher.on_report(instance_name(from.name), report, now);
        entries[from.name] = {instance_name(from.name), from.region, from.address};
        if (catalog.may_answer(now))
        {
            // Said under the lease: no other replica can have accepted a later revision.
            links.send(from.name, distribution::revision_confirmation{
                                      catalog.state().revision(), publisher.heard_since(now - instance_age)});
            publish();
        }
    }

    /// A leader tells the entries of one another.
    void tell_entries(time_point now)
    {
        entry_list list;
        for (const auto& [name, known] : publisher.instances())
        {
            const auto entry = entries.find(name.str());
            if (entry != entries.end() && now - known.heard_at < listed_entry_age)
            {
                list.items.push_back(entry->second);
            }
        }
        for (const entry_peer& item : list.items)
        {
            std::vector<entry_peer>& told = told_entries[item.name.str()];
            if (told != list.items)
            {
                told = list.items;
                links.send(item.name.str(), list);
            }
        }
    }

    void on_register_call(const hello& from, const register_call& call, time_point now)
    {
        register_command command = call.command;
        command.now_ms = unix_ms();
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json(command), bytes);
        registers.propose(
            std::move(bytes),
            [this, to = from.name, number = call.number](std::error_code failed, const std::string& result)
            {
                register_return returned;
                returned.number = number;
                returned.leads = !failed;
                if (!failed)
                {
                    returned.reply = nlohmann::json::from_cbor(result).get<register_reply>();
                }
                links.send(to, returned);
            },
            now);
        pump_soon();
    }

    // ------------------------------------------------------------------ operators

    void on_operator(const http_request& request, const http_server::respond& respond)
    {
        if (request.target == "/health")
        {
            respond(json_reply(http_ok, {{"state", catalog.node() ? "running" : "storage_failing"}}));
        }
        else if (request.target == "/changes" && request.method == "POST")
        {
            on_change(request, respond);
        }
        else if (request.target == "/changes/preview" && request.method == "POST")
        {
            on_preview(request, respond);
        }
        else if (request.target == "/configuration")
        {
            on_configuration(respond);
        }
        else if (request.target == "/status")
        {
            on_status(respond);
        }
        else if (request.target == "/members" && request.method == "POST")
        {
            on_members(request, respond);
        }
        else if (request.target == "/dump")
        {
            respond(json_reply(http_ok, dump()));
        }
        else if (request.target == "/metrics")
        {
            respond(json_reply(http_ok, counted.dump()));
        }
        else
        {
            respond(error_reply(http_not_found, errc::message_malformed, "no such resource"));
        }
    }

    http_reply not_leader() const
    {
        http_reply reply = error_reply(http_not_leader, errc::not_leader);
        const quorum::replica* node = const_cast<catalog_machine&>(catalog).node();
        if (node != nullptr && !node->leader().empty())
        {
            reply.headers.set("X-Leader", node->leader().str());
        }
        return reply;
    }

    static std::optional<change> read_change(const http_request& request, http_reply& refusal)
    {
        const nlohmann::json j = nlohmann::json::parse(request.body, nullptr, false);
        try
        {
            change wanted = j.get<change>();
            if (wanted.id.empty())
            {
                refusal = error_reply(http_bad_request, errc::missing_key, "/id must not be empty");
                return std::nullopt;
            }
            return wanted;
        }
        catch (const nlohmann::json::exception& malformed)
        {
            refusal = error_reply(http_bad_request, errc::document_malformed, malformed.what());
            return std::nullopt;
        }
    }

    static int status_of(const change_result& result)
    {
        switch (result.status)
        {
        case change_status::accepted:
        case change_status::superseded:
            return http_ok;
        case change_status::conflict:
            return http_conflict;
        case change_status::invalid:
            break;
        }
        return http_bad_request;
    }

    void on_change(const http_request& request, const http_server::respond& respond)
    {
        http_reply refusal;
        const auto wanted = read_change(request, refusal);
        if (!wanted)
        {
            respond(refusal);
            return;
        }
        submit(*wanted,
               [this, respond](std::error_code failed, const change_result& decided)
               {
                   if (failed == make_error_code(errc::not_leader))
                   {
                       respond(not_leader());
                   }
                   else if (failed)
                   {
                       respond(error_reply(http_unavailable, errc::not_committed));
                   }
                   else
                   {
                       respond(json_reply(status_of(decided), decided));
                   }
               });
    }

    /// Puts a change into the log; @a done is called once it is committed, or can't be known to be.
    void submit(const change& wanted, std::function<void(std::error_code, const change_result&)> done)
    {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json(wanted), bytes);
        catalog.propose(
            std::move(bytes),
            [id = wanted.id, version = wanted.version, done = std::move(done)](std::error_code failed,
                                                                               const std::string& result)
            {
                change_result decided;
                if (!failed)
                {
                    decided = nlohmann::json::from_cbor(result).get<change_result>();
                }
                log(log_level::info, "change",
                    {{"id", id.str()},
                     {"version", version},
                     {"status",
                      failed ? failed.message() : nlohmann::json(decided.status).get<std::string>()},
                     {"revision", decided.revision}});
                done(failed, decided);
            },
            clock.now());
        pump_soon();
    }

    void on_signal()
    {
        signals.async_wait(
            [this](const boost::system::error_code& failed, int number)
            {
                if (failed)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    log(log_level::info, "reload_ignored", {{"reason", "settings hold from start to stop"}});
                    on_signal();
                    return;
                }
                log(log_level::info, "stopped", {{"signal", number}});
                io.stop();
            });
    }

    void on_preview(const http_request& request, const http_server::respond& respond)
    {
        http_reply refusal;
        const auto wanted = read_change(request, refusal);
        if (!wanted)
        {
            respond(refusal);
            return;
        }
        if (!catalog.may_answer(clock.now()))
        {
            respond(not_leader());
            return;
        }
        catalog_state trial = catalog.state();
        const change_result decided = trial.apply(*wanted);
        nlohmann::json body = decided;
        body["difference"] = diff(catalog.state().current(), trial.current());
        body["moved_shards"] = moved_shards(catalog.state().current(), trial.current());
        respond(json_reply(status_of(decided), body));
    }

    static nlohmann::json moved_shards(const configuration& before, const configuration& after)
    {
        nlohmann::json moved = nlohmann::json::array();
        const placement old_placed = place(0, before);
        const placement new_placed = place(0, after);
        for (const auto& [name, service] : new_placed.services)
        {
            const auto known = old_placed.services.find(name);
            for (std::size_t shard = 0; shard < service.shards.size(); ++shard)
            {
                const bool same = known != old_placed.services.end() && shard < known->second.shards.size() &&
                                  known->second.shards[shard] == service.shards[shard];
                if (!same)
                {
                    moved.push_back({{"service", name}, {"shard", shard}});
                }
            }
        }
        return moved;
    }

    void on_configuration(const http_server::respond& respond)
    {
        if (!catalog.may_answer(clock.now()))
        {
            respond(not_leader());
            return;
        }
        const catalog_state& state = catalog.state();
        nlohmann::json history = nlohmann::json::array();
        for (const auto& [revision, id] : state.history())
        {
            history.push_back({{"revision", revision}, {"change", id}});
        }
        respond(json_reply(http_ok, {{"revision", state.revision()},
                                     {"configuration", state.current()},
                                     {"history", std::move(history)}}));
    }

    void on_status(const http_server::respond& respond)
    {
        const time_point now = clock.now();
        if (!catalog.may_answer(now))
        {
            respond(not_leader());
            return;
        }
        nlohmann::json instances = nlohmann::json::array();
        for (const auto& [name, known] : publisher.instances())
        {
            instances.push_back({{"instance", name},
                                 {"revision_in_force", known.in_force},
                                 {"heard_ms_ago", (now - known.heard_at).ms()}});
        }
        respond(json_reply(http_ok, {{"leader", settings.replica.name},
                                     {"revision", catalog.state().revision()},
                                     {"instances", std::move(instances)},
                                     {"catalog", dump_of(catalog, clock.now())},
                                     {"register", dump_of(registers, clock.now())}}));
    }

    void on_members(const http_request& request, const http_server::respond& respond)
    {
        const nlohmann::json j = nlohmann::json::parse(request.body, nullptr, false);
        const std::string action = j.is_object() ? j.value("action", std::string()) : std::string();
        const std::string name = j.is_object() ? j.value("name", std::string()) : std::string();
        if (name.empty() || (action != "add" && action != "replace" && action != "remove"))
        {
            respond(error_reply(http_bad_request, errc::document_malformed,
                                "wants {\"action\": add, replace or remove, \"name\": a replica}"));
            return;
        }
        const quorum::replica_name replica(name);
        const std::error_code first = change_members(catalog, catalog_log, action, replica);
        const std::error_code second = change_members(registers, register_log, action, replica);
        pump_soon();
        const std::error_code refused = first ? first : second;
        if (refused == make_error_code(errc::not_leader))
        {
            respond(not_leader());
            return;
        }
        if (refused)
        {
            respond(error_reply(http_unavailable, static_cast<errc>(refused.value()), "try again"));
            return;
        }
        log(log_level::info, "members_changed", {{"action", action}, {"replica", name}});
        respond(json_reply(http_ok, {{"catalog", dump_of(catalog, clock.now())},
                                     {"register", dump_of(registers, clock.now())}}));
    }

    template <typename Machine>
    std::error_code change_members(Machine& machine, const char* log_name, const std::string& action,
                                   const quorum::replica_name& name)
    {
        quorum::replica* node = machine.node();
        if (node == nullptr || node->role() != quorum::role::leader)
        {
            return errc::not_leader;
        }
        if (action == "remove")
        {
            return node->remove_member(name, clock.now());
        }
        const auto& known = announced[log_name];
        const auto holds = known.find(name);
        if (holds == known.end())
        {
            return errc::unreachable;
        }
        return node->add_member(name, holds->second.incarnation, clock.now());
    }

    // ------------------------------------------------------------------ inspection

    nlohmann::json dump()
    {
        nlohmann::json j = {{"process", "control"},
                            {"replica", settings.replica.name},
                            {"region", settings.replica.region},
                            {"availability_zone", settings.replica.availability_zone},
                            {"revision", catalog.state().revision()},
                            {"register_keys", registers.state().size()},
                            {"reachable_peers", links.reachable()},
                            {"catalog", dump_of(catalog, clock.now())},
                            {"register", dump_of(registers, clock.now())},
                            {"metrics", counted.dump()}};
        return j;
    }

    /// The founders' incarnations are known to all of them beforehand. A folder that is made later draws its
    /// own, so that a wiped founder doesn't pass for the first one.
    static quorum::incarnation_id founding_incarnation(const quorum::replica_name& name)
    {
        return hash64(name.str()) | 1U;
    }

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

control_process::control_process(control_settings settings)
    : m_implementation(std::make_unique<implementation>(std::move(settings)))
{
}

control_process::~control_process() = default;

findings control_process::open()
{
    implementation& self = *m_implementation;
    findings found;
    self.open_machine(self.catalog, catalog_log, found);
    self.open_machine(self.registers, register_log, found);
    return found;
}

findings control_process::found_logs()
{
    implementation& self = *m_implementation;
    findings found;
    const time_point now = self.clock.now();
    const std::error_code failed =
        self.catalog.found(now) ? make_error_code(errc::storage_foreign) : self.registers.found(now);
    if (failed)
    {
        found.error(static_cast<errc>(failed.value()), "/data_folder",
                    "isn't empty; a log is founded once, on one replica");
    }
    return found;
}

int control_process::run()
{
    implementation& self = *m_implementation;
    findings found;
    if (self.operators.listen(self.settings.operators))
    {
        found.error(errc::address_in_use, "/listen/operators", self.settings.operators.str());
    }
    std::string why;
    if (!self.links.listen(self.settings.link, why))
    {
        found.error(errc::address_in_use, "/listen/link", self.settings.link.str() + ": " + why);
    }
    if (found.has_errors())
    {
        fmt::print(stderr, "{}", found.to_text());
        return 1;
    }
    self.links.want(self.settings.replicas);
    self.links.start();
    self.on_signal();
    log(log_level::info, "started",
        {{"operators", self.settings.operators.str()}, {"revision", self.catalog.state().revision()}});
    net::post(self.strand,
              [&self]
              {
                  self.tick();
              });
    run_guarded(self.io);
    flush_log();
    return 0;
}

findings control_process::serve(const address& at, gateway_handler handler)
{
    implementation& self = *m_implementation;
    findings found;
    self.gateway = std::make_unique<http_server>(
        self.io, limits_of(self.settings),
        [this, &self, handler = std::move(handler)](const http_request& request, http_server::respond respond)
        {
            net::post(self.strand,
                      [this, handler, request, respond]
                      {
                          handler(*this, request, respond);
                      });
        });
    if (self.gateway->listen(at))
    {
        found.error(errc::address_in_use, "/listen", at.str());
    }
    return found;
}

void control_process::submit(const change& wanted,
                             std::function<void(std::error_code, const change_result&)> done)
{
    m_implementation->submit(wanted, std::move(done));
}

const configuration* control_process::current() const
{
    const implementation& self = *m_implementation;
    return self.catalog.may_answer(self.clock.now()) ? &self.catalog.state().current() : nullptr;
}

bool control_process::leads() const
{
    const quorum::replica* node = m_implementation->catalog.node();
    return node != nullptr && node->role() == quorum::role::leader;
}

std::string control_process::leader() const
{
    const quorum::replica* node = m_implementation->catalog.node();
    return node == nullptr ? std::string() : node->leader().str();
}

void control_process::heartbeat(const registration& said)
{
    m_implementation->hub.on_heartbeat(said, m_implementation->clock.now());
}

void control_process::leave(const backend_server_name& id)
{
    m_implementation->hub.on_leave(id, m_implementation->clock.now());
}

} // namespace flaxtiller::shell
