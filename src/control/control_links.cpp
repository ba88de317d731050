#include "control_implementation.hpp"

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

/// An entry is named to the others for this long after its last report.
constexpr duration listed_entry_age = duration::from_ms(4000);
/// Entries are told of one another this often at most, so that many that start together make few messages.
constexpr duration tell_entries_every = duration::from_ms(300);
constexpr double tell_entries_share = 0.25;

/// An entry that finds no leader reports to all replicas every second.
constexpr duration stood_in_for_age = duration::from_ms(2500);
/// Elections mostly take less.
constexpr duration stand_in_after = duration::from_ms(700);
constexpr duration share_limits_every = duration::from_ms(200);

/// @return what to tell an entry that knows @a before; all of it where it knows nothing
entry_list change_of(const std::vector<entry_peer>* before, const std::vector<entry_peer>& now)
{
    entry_list change;
    if (before == nullptr)
    {
        change.whole = true;
        change.items = now;
        return change;
    }
    // Both are sorted by name.
    std::set_difference(now.begin(), now.end(), before->begin(), before->end(),
                        std::back_inserter(change.items));
    for (const entry_peer& item : *before)
    {
        const auto same = std::lower_bound(now.begin(), now.end(), item,
                                           [](const entry_peer& a, const entry_peer& b)
                                           {
                                               return a.name < b.name;
                                           });
        if (same == now.end() || same->name != item.name)
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
    else if (const auto* used = std::get_if<limit_report>(&message))
    {
        on_limit_report(from, *used, now);
    }
    else if (const auto* news = std::get_if<crash_news>(&message))
    {
        crashes.on_crash_update(from.name, *news, from.role == "control", now);
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
    else if (const auto* wanted = std::get_if<member_request>(&message))
    {
        on_member_request(from, *wanted);
    }
}

void control_process::implementation::on_report(const hello& from,
                                                const distribution::revision_report& report, time_point now)
{
    publisher.on_report(instance_name(from.name), report, now);
    entries.insert_or_assign(from.name,
                             entry_peer{instance_name(from.name), from.region, from.zone, from.address});
    const bool answers = catalog.may_answer(now);
    if (answers)
    {
        links.send(from.name, confirmation(now));
    }
    if (!answers || report.wants_updates)
    {
        // A follower that lacks the revision sees by this whether it is on its way.
        const quorum::replica* node = catalog.node();
        links.send(from.name,
                   distribution::revision_report{catalog.state().revision(), 0, false, false,
                                                 node == nullptr ? std::string() : node->leader().str()});
    }
    publish();
}

bool control_process::implementation::stands_in_for_limits(time_point now)
{
    return forms_itself() && now - leaderless_since >= stand_in_after &&
           *replica_names().begin() == settings.replica.name &&
           publisher.heard_since(now - stood_in_for_age) > 0;
}

bool control_process::implementation::keeps_limits(time_point now)
{
    const quorum::replica* node = catalog.node();
    const bool leads = catalog.may_answer(now);
    const bool stands_in = !leads && stands_in_for_limits(now);
    if (!leads && !stands_in)
    {
        return false;
    }
    // A leader that lost its lease for a moment has it back in the same term: nobody else kept the limits.
    const limit_keeping keeping{stands_in, node->term()};
    if (!(keeping == limits_kept))
    {
        limits_kept = keeping;
        log(log_level::info, "keeps_limits", {{"leads", leads}, {"term", keeping.term}});
        limits.restart(now);
    }
    return true;
}

double control_process::implementation::limits_share(int all_entries, time_point now)
{
    // Who leads has a majority behind it; who stands in may be cut off from most entries.
    if (catalog.may_answer(now) || all_entries <= 0)
    {
        return 1.0;
    }
    const int heard = publisher.heard_since(now - stood_in_for_age);
    return std::min(static_cast<double>(heard) / all_entries, 1.0);
}

void control_process::implementation::on_limit_report(const hello& from, const limit_report& report,
                                                      time_point now)
{
    if (!keeps_limits(now))
    {
        // Another replica does, or none; the entry goes on alone until it finds out.
        return;
    }
    if (now >= share_limits_at)
    {
        share_limits_at = now + share_limits_every;
        limits.set_share(limits_share(report.entries, now), now);
    }
    links.send(from.name, limits.on_report(report, now));
    if (!limits.has_news())
    {
        return;
    }
    const limit_word news = limits.take_news(now);
    const std::vector<std::string> receivers = entry_names();
    for (const limit_standing& told : news.standings)
    {
        log(log_level::info, "team_limited",
            {{"team", told.team.str()},
             {"tokens", limits.tokens(told.team, now)},
             {"dry_ms", told.dry_for.ms()},
             {"told", receivers.size()}});
    }
    links.send(receivers, news);
}

void control_process::implementation::tell_entries(time_point now)
{
    if (now < tell_entries_at)
    {
        return;
    }
    // Whoever comes or goes is a message to each.
    tell_entries_at = now + std::max(tell_entries_every, pace().every() * tell_entries_share);
    std::vector<entry_peer> present;
    for (const auto& [name, known] : publisher.instances())
    {
        const auto entry = entries.find(name.str());
        if (entry != entries.end() && now - known.heard_at < pace().scaled(listed_entry_age))
        {
            present.push_back(entry->second);
        }
    }
    const auto shared = std::make_shared<const std::vector<entry_peer>>(std::move(present));
    // Most were told the same before, so that one message, encoded once, serves them.
    std::map<std::shared_ptr<const std::vector<entry_peer>>, std::vector<std::string>> receivers;
    for (const entry_peer& item : *shared)
    {
        receivers[told_entries[item.name.str()]].push_back(item.name.str());
    }
    for (const auto& [told, names] : receivers)
    {
        const entry_list change = change_of(told.get(), *shared);
        if (!change.whole && change.items.empty() && change.gone.empty())
        {
            continue;
        }
        links.send(names, change);
        for (const std::string& name : names)
        {
            told_entries[name] = shared;
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
    pump_soon();
}

void control_process::implementation::on_member_request(const hello& from, const member_request& wanted)
{
    const bool for_catalog = wanted.log == catalog_log;
    if (!(for_catalog ? leads(catalog) : leads(registers)))
    {
        // The asker tries again, with whom it then takes for the leader.
        return;
    }
    const std::error_code refused = for_catalog ? change_members(catalog, catalog_log, wanted)
                                                : change_members(registers, register_log, wanted);
    log(log_level::info, "members_changed",
        {{"log", wanted.log},
         {"action", wanted.action},
         {"replica", wanted.name},
         {"asked_by", from.name},
         {"result", refused ? refused.message() : "accepted"}});
    pump_soon();
}

} // namespace flaxtiller::shell
