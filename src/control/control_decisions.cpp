#include "control_implementation.hpp"

#include <algorithm>
#include <chrono>

namespace flaxtiller::shell
{

namespace
{

constexpr duration tick_every = duration::from_ms(10);
constexpr duration notice_every = duration::from_ms(1000);
constexpr duration count_entries_every = duration::from_ms(100);
/// Each look goes through all links; well within the first pause between two tries to make one.
constexpr duration tick_links_every = duration::from_ms(20);
/// Entries notice that a leader is lost after two or three reports, a second each, and then report to all
/// replicas.
constexpr duration reports_bound = duration::from_ms(3500);
/// After a start of all, links and first reports take less than this.
constexpr duration cold_reports_bound = duration::from_ms(700);
constexpr duration cold_start_bound = duration::from_ms(6000);
/// Processes that start together do so within less than this, their first links included.
constexpr duration joint_start_bound = duration::from_ms(1000);

} // namespace

void control_process::implementation::pump_soon()
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
    note_changes();
    confirm_to_entries(now);
    link_to_members();
}

bool control_process::implementation::forms_itself() const
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
    if (const quorum::replica* node = catalog.node(); node != nullptr && forms_itself())
    {
        for (const auto& [name, item] : node->members().members)
        {
            names.insert(name.str());
        }
    }
    return names;
}

void control_process::implementation::link_to_members()
{
    std::set<std::string> names = replica_names();
    if (names == linked)
    {
        return;
    }
    linked = std::move(names);
    std::set<std::string> others = linked;
    others.erase(settings.replica.name);
    hub.set_replicas(std::move(others));
    if (!forms_itself())
    {
        return;
    }
    std::vector<named_address> peers;
    for (const std::string& name : linked)
    {
        if (const auto at = parse_address(name))
        {
            peers.push_back({name, *at});
        }
    }
    links.set_peers(peers);
    const control_members told{{linked.begin(), linked.end()}};
    const std::set<std::string> reachable = links.reachable();
    links.send(std::vector<std::string>(reachable.begin(), reachable.end()), told);
}

void control_process::implementation::send(const char* log_name, const quorum::message& message)
{
    links.send(message.to.str(), quorum_envelope{log_name, message});
}

void control_process::implementation::publish()
{
    const time_point now = clock.now();
    const catalog_state& state = catalog.state();
    if (state.revision() > publisher.revision())
    {
        // Entries recognize callers' keys by digests.
        configuration for_entries = state.current().without_keys();
        if (const auto before = publisher.present())
        {
            for_entries.share_with(*before);
        }
        limits.configure(for_entries.teams, now);
        publisher.on_revision(state.revision(),
                              std::make_shared<const configuration>(std::move(for_entries)));
    }
    // What is committed may be told by any replica; only a leader says that it is the present revision.
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

void control_process::implementation::note_changes()
{
    quorum::replica* node = catalog.node();
    if (node != nullptr && awaits_lease && !node->awaits_earlier_lease())
    {
        log(log_level::info, "earlier_lease_over",
            {{"after_ms", (clock.now() - started_at).ms()}, {"leader", node->leader().str()}});
    }
    awaits_lease = node != nullptr && node->awaits_earlier_lease();
    const bool leaderless = node != nullptr && node->leader().empty();
    leaderless_since = leaderless ? std::min(leaderless_since, clock.now()) : time_point::never();
    const bool leads = node != nullptr && node->is_ready_leader();
    if (leads != led)
    {
        led = leads;
        led_since = clock.now();
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

/// Whether entries have had the time to report to this replica since it leads: while they know a leader they
/// report to that one only. All started together report to every replica from the start.
bool control_process::implementation::knows_entries(time_point now) const
{
    const bool started_lately = led_since - started_at < cold_start_bound;
    const duration bound = started_lately ? cold_reports_bound : pace().scaled(reports_bound);
    return led && (now - led_since >= bound || (started_lately && all_linked_reported(now)));
}

/// Whether each entry that has a link to this replica reported to it since it started. Until entries know how
/// many they are, each takes one connection to a backend server and runs all shards itself: 0.7 s of the
/// return of 65 instances after a loss of power. An entry that goes on while this replica restarts has a
/// link, but reports to another one.
bool control_process::implementation::all_linked_reported(time_point now) const
{
    if (now - started_at < joint_start_bound || entries.empty())
    {
        return false;
    }
    const std::set<std::string> linked_peers = links.reachable();
    return std::all_of(linked_peers.begin(), linked_peers.end(),
                       [&](const std::string& peer)
                       {
                           const auto identity = links.identity(peer);
                           return !identity || identity->role != "entry" || entries.count(peer) > 0;
                       });
}

/// @return the entries heard lately; 0 while that isn't known
int control_process::implementation::counted_entries(time_point now)
{
    // Not for each of their reports: that would grow with the square of the entries.
    if (now >= count_entries_at)
    {
        count_entries_at = now + count_entries_every;
        const duration age = pace().scaled(instance_age);
        entry_count = knows_entries(now) ? publisher.heard_since(now - age) : 0;
    }
    return entry_count;
}

/// Said under the lease: no other replica can have accepted a later revision.
distribution::revision_confirmation control_process::implementation::confirmation(time_point now)
{
    return {catalog.state().revision(), counted_entries(now), pace().every().ms()};
}

void control_process::implementation::confirm_to_entries(time_point now)
{
    const bool answers = catalog.may_answer(now);
    if (answers != answered)
    {
        const quorum::replica* node = catalog.node();
        log(log_level::info, answers ? "lease_held" : "lease_lost",
            {{"term", node ? node->term() : 0},
             {"leads", node && node->is_ready_leader()},
             {"applied", catalog.applied()},
             {"committed", node ? node->commit_index() : 0},
             {"members", node ? node->members().members.size() : 0},
             {"revision", catalog.state().revision()}});
    }
    if (answers && !answered)
    {
        const distribution::revision_confirmation word = confirmation(now);
        std::vector<std::string> receivers;
        for (const std::string& peer : links.reachable())
        {
            if (entries.count(peer) > 0)
            {
                receivers.push_back(peer);
            }
        }
        links.send(receivers, word);
    }
    answered = answers;
}

void control_process::implementation::on_reachable(const std::string& name, bool up)
{
    told_entries.erase(name);
    if (!up)
    {
        hub.on_lost(name);
        // It may come back with another folder.
        announced[catalog_log].erase(quorum::replica_name(name));
        announced[register_log].erase(quorum::replica_name(name));
        return;
    }
    crashes.on_reachable(name, clock.now());
    const auto identity = links.identity(name);
    if (identity && identity->role == "control")
    {
        hub.on_reachable(name, clock.now());
    }
    if (forms_itself())
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
    if (now >= tick_links_at)
    {
        tick_links_at = now + tick_links_every;
        links.tick();
    }
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
    hub.tick(catalog.may_answer(now), now);
    if (crashes.is_due(now))
    {
        crashes.tick(linked, entry_names(), now);
    }
    if (catalog.may_answer(now) && knows_entries(now))
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

} // namespace flaxtiller::shell
