#include "control_implementation.hpp"

#include "process/replace_file.hpp"

#include <algorithm>
#include <chrono>

namespace flaxtiller::shell
{

namespace
{

constexpr duration tick_interval = duration::from_ms(10);
constexpr duration notice_interval = duration::from_ms(1000);
/// Of two changes that depend on each other, the second one follows the commitment of the first within this
/// time.
constexpr duration membership_check_interval = duration::from_ms(100);
constexpr duration entry_count_interval = duration::from_ms(100);
/// Each tick visits all links. The interval is much shorter than the first pause between two connection
/// attempts.
constexpr duration link_tick_interval = duration::from_ms(20);
/// The time in which all entries have reported to a new leader. Entries detect the loss of a leader after two
/// or three reports, which are one second apart, and then report to all replicas.
constexpr duration report_grace_period = duration::from_ms(3500);
/// The same after a simultaneous start of all processes: links and first reports take less time.
constexpr duration startup_report_grace_period = duration::from_ms(700);
/// A replica that becomes the leader within this time after its start counts as part of a simultaneous start.
constexpr duration startup_period = duration::from_ms(6000);
/// The longest time between the starts of processes that start together, including their first links.
constexpr duration simultaneous_start_tolerance = duration::from_ms(1000);
/// The time without a leader after which the settings file is read again, longer than most elections, and the
/// interval of further readings.
constexpr duration settings_interval = duration::from_ms(1000);

} // namespace

void control_process::implementation::schedule_pump()
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

void control_process::implementation::pump()
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
    track_state_changes();
    confirm_revision_to_entries(now);
    link_to_members();
}

bool control_process::implementation::is_self_forming() const
{
    return settings.self_forming;
}

std::set<std::string> control_process::implementation::replica_names()
{
    std::set<std::string> names;
    for (const named_address& seed : settings.replicas)
    {
        names.insert(seed.name);
    }
    if (const quorum::replica* node = catalog.node(); node != nullptr && is_self_forming())
    {
        for (const auto& [name, item] : node->members().members)
        {
            names.insert(name.str());
        }
    }
    return names;
}

std::vector<named_address> control_process::implementation::read_seeds_again(const std::string& text,
                                                                             findings& found) const
{
    const control_settings read = parse_control_settings(text, source.file, found);
    return is_self_forming() && read.self_forming ? read.replicas : settings.replicas;
}

void control_process::implementation::reload_settings(settings_reload::cause why)
{
    findings found;
    const std::string text = source.read(found);
    const settings_reload::outcome result = reloaded.on_read(why, text, found);
    log_outcome(result);
    if (result.replicas)
    {
        settings.replicas = *result.replicas;
        link_to_members();
    }
}

void control_process::implementation::search_settings(time_point now)
{
    const time_point since = catalog_leaderless.since();
    const bool lacks_leader = since != time_point::never() && now - since > settings_interval;
    if (lacks_leader && now >= next_settings_reading_at)
    {
        next_settings_reading_at = now + settings_interval;
        reload_settings(settings_reload::cause::lost_contact);
    }
}

void control_process::implementation::link_to_members()
{
    std::set<std::string> names = contact_names();
    if (names == linked_replicas)
    {
        return;
    }
    linked_replicas = std::move(names);
    std::set<std::string> others = linked_replicas;
    others.erase(settings.replica.name);
    registrations.set_replicas(std::move(others));
    if (!is_self_forming())
    {
        return;
    }
    dial_peers();
    const std::set<std::string> members = replica_names();
    const control_members member_list{{members.begin(), members.end()}};
    const std::set<std::string> reachable = links.reachable();
    links.send(std::vector<std::string>(reachable.begin(), reachable.end()), member_list);
}

void control_process::implementation::dial_peers()
{
    std::vector<named_address> peers;
    for (const std::string& name : linked_replicas)
    {
        if (const auto at = parse_address(name))
        {
            peers.push_back({name, *at});
        }
    }
    for (const std::string& name : dialled_for_discovery)
    {
        const auto entry = entries.find(name);
        const auto at = entry == entries.end() ? std::nullopt : parse_address(entry->second.address);
        if (at)
        {
            peers.push_back({name, *at});
        }
    }
    links.set_peers(peers);
}

void control_process::implementation::send(const char* log_name, const quorum::message& message)
{
    links.send(message.to.str(), quorum_envelope{log_name, message});
}

void control_process::implementation::load_deployment()
{
    std::string text;
    if (!files.read(deployment_path, text))
    {
        deployment = deployment_id(text);
        links.set_deployment(deployment);
    }
}

void control_process::implementation::set_deployment(const deployment_id& own)
{
    if (!own.is_known() || own == deployment)
    {
        return;
    }
    deployment = own;
    links.set_deployment(own);
    if (const std::error_code failed = replace_file(files, deployment_path, own.str()))
    {
        log(log_level::warning, "deployment_not_written",
            {{"path", deployment_path}, {"error", failed.message()}});
    }
}

void control_process::implementation::publish()
{
    const time_point now = clock.now();
    const catalog_state& state = catalog.state();
    if (state.revision() > publisher.revision())
    {
        set_deployment(deployment_id::of_secret(state.current().key_secret));
        // Entries get digests in place of the keys of callers.
        configuration for_entries = state.current().without_keys();
        if (const auto previous = publisher.current_configuration())
        {
            for_entries.share_with(*previous);
        }
        rate_limits.configure(for_entries.teams, now);
        publisher.on_revision(state.revision(),
                              std::make_shared<const configuration>(std::move(for_entries)));
    }
    // Any replica may send committed revisions, but only a leader confirms that a revision is current.
    std::map<std::shared_ptr<const distribution::revision_update>, std::vector<std::string>> receivers;
    for (const auto& item : publisher.take_updates(now))
    {
        receivers[item.update].push_back(item.to.str());
    }
    for (const auto& [update, names] : receivers)
    {
        links.send(names, *update);
    }
}

void control_process::implementation::track_state_changes()
{
    quorum::replica* node = catalog.node();
    if (node != nullptr && waits_for_previous_lease && !node->awaits_previous_lease_end())
    {
        log(log_level::info, "earlier_lease_over",
            {{"after_ms", (clock.now() - started_at).ms()}, {"leader", node->leader().str()}});
    }
    waits_for_previous_lease = node != nullptr && node->awaits_previous_lease_end();
    catalog_leaderless.update(node, clock.now());
    register_leaderless.update(registers.node(), clock.now());
    const bool leads = node != nullptr && node->is_ready_leader();
    if (leads != was_leader)
    {
        was_leader = leads;
        leader_since = clock.now();
        log(log_level::info, leads ? "leading" : "not_leading", {{"term", node ? node->term() : 0}});
    }
    const std::error_code storage_error_now =
        catalog.storage_error() ? catalog.storage_error() : registers.storage_error();
    if (storage_error_now != reported_storage_error)
    {
        reported_storage_error = storage_error_now;
        log(storage_error_now ? log_level::error : log_level::info,
            storage_error_now ? "storage_failing" : "storage_recovered",
            {{"error", storage_error_now.message()}, {"folder", settings.data_folder}});
    }
}

/// @return whether the entries have had enough time to report to this replica since it became the leader.
/// Entries that know a leader report only to that leader, while entries that start together with the replicas
/// report to every replica from the start.
bool control_process::implementation::knows_all_entries(time_point now) const
{
    const bool recently_started = leader_since - started_at < startup_period;
    const duration bound =
        recently_started ? startup_report_grace_period : pace().scaled(report_grace_period);
    return was_leader &&
           (now - leader_since >= bound || (recently_started && all_linked_entries_reported(now)));
}

/// @return whether each entry that has a link to this replica has reported to it since its start. Entries
/// that don't know their number use one connection per backend server and execute all shards themselves,
/// which cost 0.7 s of the recovery of 65 instances from a power loss. An entry that kept running while this
/// replica restarted has a link to this replica, but reports to another one.
bool control_process::implementation::all_linked_entries_reported(time_point now) const
{
    if (now - started_at < simultaneous_start_tolerance || entries.empty())
    {
        return false;
    }
    const std::set<std::string> reachable_peers = links.reachable();
    return std::all_of(reachable_peers.begin(), reachable_peers.end(),
                       [&](const std::string& peer)
                       {
                           const auto identity = links.identity(peer);
                           return !identity || identity->role != "entry" || entries.count(peer) > 0;
                       });
}

/// @return the number of entries that reported recently; 0 if unknown
int control_process::implementation::counted_entries(time_point now)
{
    // Counting at each report would make the cost grow with the square of the number of entries.
    if (now >= next_entry_count_at)
    {
        next_entry_count_at = now + entry_count_interval;
        const duration age = pace().scaled(instance_age);
        entry_count = knows_all_entries(now) ? publisher.reporting_since(now - age) : 0;
    }
    return entry_count;
}

/// The confirmation is valid while this replica holds the lease, since no other replica can accept a later
/// revision.
distribution::revision_confirmation control_process::implementation::confirmation(time_point now)
{
    return {catalog.state().revision(), counted_entries(now), pace().every().ms()};
}

void control_process::implementation::confirm_revision_to_entries(time_point now)
{
    const bool authoritative = catalog.is_authoritative(now);
    if (authoritative != was_authoritative)
    {
        const quorum::replica* node = catalog.node();
        log(log_level::info, authoritative ? "lease_held" : "lease_lost",
            {{"term", node ? node->term() : 0},
             {"leads", node && node->is_ready_leader()},
             {"applied", catalog.applied()},
             {"committed", node ? node->commit_index() : 0},
             {"members", node ? node->members().members.size() : 0},
             {"revision", catalog.state().revision()}});
    }
    const bool is_new_revision = catalog.state().revision() > confirmed_revision;
    if (authoritative && (!was_authoritative || is_new_revision))
    {
        // Entries learn of a new leader or a new revision without waiting for the answer to a report.
        confirmed_revision = catalog.state().revision();
        links.send(linked_entry_names(), confirmation(now));
    }
    was_authoritative = authoritative;
}

void control_process::implementation::track_contact(time_point now)
{
    const quorum::replica* node = catalog.node();
    const std::size_t members = node == nullptr ? 0 : node->members().members.size();
    const std::size_t replicas = members > 0 ? members : settings.replicas.size();
    heartbeats.set_contact(replicas, reachable_names.size(), now);
    const bool refuses = !heartbeats.accepts(now);
    if (refuses != refuses_heartbeats)
    {
        refuses_heartbeats = refuses;
        log(refuses ? log_level::warning : log_level::info,
            refuses ? "heartbeats_refused" : "heartbeats_accepted", {{"replicas", replicas}});
    }
}

void control_process::implementation::send_notices(const std::vector<std::string>& receivers)
{
    if (const quorum::replica* node = catalog.node())
    {
        links.send(receivers, incarnation_notice{catalog_log, node->incarnation()});
    }
    if (const quorum::replica* node = registers.node())
    {
        links.send(receivers, incarnation_notice{register_log, node->incarnation()});
    }
}

void control_process::implementation::on_reachable(const std::string& name, bool up)
{
    sent_entry_lists.erase(name);
    if (up)
    {
        reachable_names.insert(name);
    }
    else
    {
        reachable_names.erase(name);
    }
    track_contact(clock.now());
    if (!up)
    {
        publisher.on_link_lost(instance_name(name));
        registrations.on_lost(name, clock.now());
        // The replica may return with another data folder.
        announced[catalog_log].erase(quorum::replica_name(name));
        announced[register_log].erase(quorum::replica_name(name));
        return;
    }
    crash_records.on_reachable(name, clock.now());
    const auto identity = links.identity(name);
    const bool is_replica = identity && identity->role == "control";
    registrations.on_reachable(name, is_replica, clock.now());
    if (is_replica)
    {
        send_notices({name});
        replica_places[quorum::replica_name(name)] = {identity->zone, identity->region};
    }
    if (is_self_forming())
    {
        const std::set<std::string> names = replica_names();
        links.send(name, control_members{{names.begin(), names.end()}});
    }
}

std::vector<std::string> control_process::implementation::entry_names() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries)
    {
        names.push_back(name);
    }
    return names;
}

void control_process::implementation::tick()
{
    const time_point now = clock.now();
    if (const duration span = suspensions.since_last(); span > duration{})
    {
        log(log_level::warning, "was_suspended", {{"for_ms", span.ms()}});
    }
    if (now >= next_link_tick_at)
    {
        next_link_tick_at = now + link_tick_interval;
        links.tick();
        track_contact(now);
    }
    catalog.tick(now);
    registers.tick(now);
    pump();
    search_replicas(now);
    if (now >= next_notice_at)
    {
        next_notice_at = now + notice_interval;
        std::set<std::string> others = contact_names();
        others.erase(settings.replica.name);
        send_notices({others.begin(), others.end()});
    }
    if (now >= next_membership_check_at)
    {
        next_membership_check_at = now + membership_check_interval;
        maintain_membership(catalog, catalog_log, now);
        maintain_membership(registers, register_log, now);
    }
    search_settings(now);
    if (now >= next_caller_check_at)
    {
        next_caller_check_at = now + caller_watch_interval;
        callers_watched.check(gateway ? *gateway : operators);
    }
    registrations.tick(catalog.is_authoritative(now), now);
    if (crash_records.is_due(now))
    {
        crash_records.tick(linked_replicas, entry_names(), now);
    }
    if (catalog.is_authoritative(now) && knows_all_entries(now))
    {
        send_entry_lists(now);
    }
    timer.expires_after(std::chrono::microseconds(tick_interval.us()));
    timer.async_wait(
        [this](const boost::system::error_code& stopped)
        {
            if (!stopped)
            {
                tick();
            }
        });
}

} // namespace flaxtiller::shell
