#include "control_implementation.hpp"

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

/// An entry stays in the list of entries for this time after its last report.
constexpr duration listed_entry_age = duration::from_ms(4000);
/// The minimum interval between two lists of entries, so that the simultaneous start of many entries causes
/// few messages, and the same as a share of the report interval.
constexpr duration entry_list_interval = duration::from_ms(300);
constexpr double entry_list_interval_share = 0.25;

/// Entries that reported within this time count as reaching a substitute. An entry without a leader reports
/// to all replicas once per second.
constexpr duration substitute_report_age = duration::from_ms(2500);
/// The time without a leader after which a replica substitutes for the rate limit coordinator. Most
/// elections take less time.
constexpr duration substitute_after = duration::from_ms(700);
/// The interval at which a substitute computes its share of the limits again.
constexpr duration limit_share_interval = duration::from_ms(200);

/// @return the message that brings an entry from list @a previous to list @a now; the complete list if
/// @a previous is null
entry_list entry_list_change(const std::vector<entry_peer>* previous, const std::vector<entry_peer>& now)
{
    entry_list change;
    if (previous == nullptr)
    {
        change.whole = true;
        change.items = now;
        return change;
    }
    // Both are sorted by name.
    std::set_difference(now.begin(), now.end(), previous->begin(), previous->end(),
                        std::back_inserter(change.items));
    for (const entry_peer& item : *previous)
    {
        const auto position = std::lower_bound(now.begin(), now.end(), item,
                                               [](const entry_peer& a, const entry_peer& b)
                                               {
                                                   return a.name < b.name;
                                               });
        if (position == now.end() || position->name != item.name)
        {
            change.gone.push_back(item.name);
        }
    }
    return change;
}

} // namespace

void control_process::implementation::on_message(const hello& from, const link_message& message)
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
        schedule_pump();
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
    else if (const auto* usage_report = std::get_if<limit_report>(&message))
    {
        on_limit_report(from, *usage_report, now);
    }
    else if (const auto* crash_update = std::get_if<crash_news>(&message))
    {
        crash_records.on_crash_update(from.name, *crash_update, from.role == "control", now);
    }
    else if (const auto* members = std::get_if<control_members>(&message))
    {
        on_control_members(from, *members);
    }
    else if (const auto* named = std::get_if<control_members_reply>(&message))
    {
        on_control_members_reply(from, *named);
    }
    else
    {
        on_registrations(from, message, now);
    }
}

void control_process::implementation::on_registrations(const hello& from, const link_message& message,
                                                       time_point now)
{
    if (const auto* update = std::get_if<registration_update>(&message))
    {
        registrations.on_update(from.name, *update, now);
    }
    else if (const auto* receipts = std::get_if<registration_heard>(&message))
    {
        registrations.on_heartbeat_receipts(from.name, *receipts, now);
    }
    else if (const auto* digest = std::get_if<registration_digest>(&message))
    {
        registrations.on_digest(from.name, *digest, now);
    }
    else if (const auto* requested = std::get_if<member_request>(&message))
    {
        on_member_request(from, *requested);
    }
}

void control_process::implementation::on_report(const hello& from,
                                                const distribution::revision_report& report, time_point now)
{
    publisher.on_report(instance_name(from.name), report, now);
    entries.insert_or_assign(from.name,
                             entry_peer{instance_name(from.name), from.region, from.zone, from.address});
    const bool authoritative = catalog.is_authoritative(now);
    if (authoritative)
    {
        links.send(from.name, confirmation(now));
    }
    if (!authoritative || report.wants_updates)
    {
        // The reply shows an entry that lacks a revision whether that revision is in transit.
        const quorum::replica* node = catalog.node();
        links.send(from.name,
                   distribution::revision_report{catalog.state().revision(), 0, false, false,
                                                 node == nullptr ? std::string() : node->leader().str()});
    }
    publish();
}

bool control_process::implementation::substitutes_for_rate_limit_coordinator(time_point now)
{
    return is_self_forming() && now - catalog_leaderless.since() >= substitute_after &&
           *replica_names().begin() == settings.replica.name &&
           publisher.reporting_since(now - substitute_report_age) > 0;
}

bool control_process::implementation::acts_as_rate_limit_coordinator(time_point now)
{
    const quorum::replica* node = catalog.node();
    const bool leads = catalog.is_authoritative(now);
    const bool is_substitute = !leads && substitutes_for_rate_limit_coordinator(now);
    if (!leads && !is_substitute)
    {
        return false;
    }
    // The accounts stay valid if the leader loses its lease for a moment and regains it in the same term,
    // since no other replica acted as the rate limit coordinator in between.
    const rate_limit_role role_now{is_substitute, node->term()};
    if (!(role_now == last_rate_limit_role))
    {
        last_rate_limit_role = role_now;
        log(log_level::info, "keeps_limits", {{"leads", leads}, {"term", role_now.term}});
        rate_limits.restart(now);
    }
    return true;
}

double control_process::implementation::reachable_limit_share(int all_entries, time_point now)
{
    // A leader is connected to a majority, but a substitute may be cut off from most entries.
    if (catalog.is_authoritative(now) || all_entries <= 0)
    {
        return 1.0;
    }
    const int reporting_entries = publisher.reporting_since(now - substitute_report_age);
    return std::min(static_cast<double>(reporting_entries) / all_entries, 1.0);
}

void control_process::implementation::on_limit_report(const hello& from, const limit_report& report,
                                                      time_point now)
{
    const bool coordinates = acts_as_rate_limit_coordinator(now);
    if (!coordinates && !report.for_witness)
    {
        // Another replica is the coordinator, or none. The entry decides locally until it finds a
        // coordinator.
        return;
    }
    if (!coordinates)
    {
        rate_limits.set_limit_share(1.0, now);
    }
    else if (now >= next_limit_share_at)
    {
        next_limit_share_at = now + limit_share_interval;
        rate_limits.set_limit_share(reachable_limit_share(report.entries, now), now);
    }
    const limit_update answer = rate_limits.on_report(report, now);
    if (!report.for_witness)
    {
        links.send(from.name, answer);
    }
    send_limit_statuses(coordinates, now);
}

/// Notifies the entries of the teams that used up their limits. A witness does so, too: the coordinator may
/// have stopped, and an entry that doesn't know that yet admits requests of these teams.
void control_process::implementation::send_limit_statuses(bool coordinates, time_point now)
{
    if (!rate_limits.has_status_updates())
    {
        return;
    }
    const limit_update status_update = rate_limits.take_status_updates(now);
    const std::vector<std::string> receivers = linked_entry_names();
    for (const limit_status& status : status_update.statuses)
    {
        log(log_level::info, "team_limited",
            {{"team", status.team.str()},
             {"tokens", rate_limits.tokens(status.team, now)},
             {"dry_ms", status.exhausted_for.ms()},
             {"coordinates", coordinates},
             {"told", receivers.size()}});
    }
    links.send(receivers, status_update);
}

std::vector<std::string> control_process::implementation::linked_entry_names() const
{
    std::vector<std::string> names;
    for (const std::string& name : links.reachable())
    {
        const auto identity = links.identity(name);
        if (identity && identity->role == "entry")
        {
            names.push_back(name);
        }
    }
    return names;
}

void control_process::implementation::send_entry_lists(time_point now)
{
    if (now < next_entry_lists_at)
    {
        return;
    }
    // Each change of the list causes a message to each entry.
    next_entry_lists_at = now + std::max(entry_list_interval, pace().every() * entry_list_interval_share);
    std::vector<entry_peer> present;
    for (const auto& [name, known] : publisher.instances())
    {
        const auto entry = entries.find(name.str());
        if (entry != entries.end() && now - known.last_report_at < pace().scaled(listed_entry_age))
        {
            present.push_back(entry->second);
        }
    }
    const auto shared = std::make_shared<const std::vector<entry_peer>>(std::move(present));
    // Most entries have the same previous list and share one message, which is encoded once.
    std::map<std::shared_ptr<const std::vector<entry_peer>>, std::vector<std::string>> receivers;
    for (const entry_peer& item : *shared)
    {
        receivers[sent_entry_lists[item.name.str()]].push_back(item.name.str());
    }
    for (const auto& [previous_list, names] : receivers)
    {
        const entry_list change = entry_list_change(previous_list.get(), *shared);
        if (!change.whole && change.items.empty() && change.gone.empty())
        {
            continue;
        }
        links.send(names, change);
        for (const std::string& name : names)
        {
            sent_entry_lists[name] = shared;
        }
    }
}

void control_process::implementation::on_register_call(const hello& from, const register_call& call,
                                                       time_point now)
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
    schedule_pump();
}

void control_process::implementation::on_member_request(const hello& from, const member_request& requested)
{
    const bool for_catalog = requested.log == catalog_log;
    if (!(for_catalog ? leads(catalog) : leads(registers)))
    {
        // The sender retries with the replica that it then considers the leader.
        return;
    }
    const std::error_code refused = for_catalog ? change_members(catalog, catalog_log, requested)
                                                : change_members(registers, register_log, requested);
    log(log_level::info, "members_changed",
        {{"log", requested.log},
         {"action", requested.action},
         {"replica", requested.name},
         {"asked_by", from.name},
         {"result", refused ? refused.message() : "accepted"}});
    schedule_pump();
}

} // namespace flaxtiller::shell
