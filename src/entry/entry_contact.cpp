#include "entry_implementation.hpp"

#include "process/joined_names.hpp"
#include "process/system.hpp"

#include <flaxtiller/distribution/member_list_proof.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// The interval at which an entry logs that its contact with the leader stays lost.
constexpr duration contact_line_interval = duration::from_ms(5000);

/// The interval at which an entry without contact reads its settings file again.
constexpr duration settings_interval = duration::from_ms(1000);

} // namespace

std::vector<std::string> entry_process::implementation::reachable_control_replicas() const
{
    std::vector<std::string> names;
    for (const named_address& replica : control.addresses())
    {
        if (reachable.count(replica.name) > 0)
        {
            names.push_back(replica.name);
        }
    }
    return names;
}

void entry_process::implementation::track_leader_contact()
{
    const time_point now = clock.now();
    const std::vector<named_address>& known = control.addresses();
    const bool is_any_reachable = std::any_of(known.begin(), known.end(),
                                              [&](const named_address& replica)
                                              {
                                                  return reachable.count(replica.name) > 0;
                                              });
    contact.set_replica_reachable(is_any_reachable, now);
    log_leader_contact(now);
    search_control_replicas(now);
    if (contact_lost)
    {
        search_settings(now);
    }
}

void entry_process::implementation::search_control_replicas(time_point now)
{
    if (!contact.is_lost(now))
    {
        discovery.end();
        dial_for_discovery({});
        if (control.forget_named_by_entries())
        {
            on_control_replicas_changed();
        }
        return;
    }
    if (!discovery.is_choice_due(now))
    {
        return;
    }
    // Of the peers, only entries that a leader of this deployment listed, of builds that know the question.
    std::set<std::string> reachable_entries;
    for (const std::string& name : reachable)
    {
        const auto identity = links.identity(name);
        if (listed_entries.count(instance_name(name)) > 0 && identity && identity->deployment)
        {
            reachable_entries.insert(name);
        }
    }
    if (discovery.is_dial_due(reachable_entries.size(), now))
    {
        std::set<std::string> unreached;
        for (const auto& [name, peer] : listed_entries)
        {
            if (reachable.count(name.str()) == 0)
            {
                unreached.insert(name.str());
            }
        }
        dial_for_discovery(discovery.choose_peers_to_dial(unreached, now));
    }
    for (const std::string& peer : discovery.choose(reachable_entries, draw64(), now))
    {
        links.send(peer, control_members_request{discovery.number()});
    }
}

void entry_process::implementation::dial_for_discovery(std::vector<std::string> names)
{
    if (names != dialled_for_discovery)
    {
        dialled_for_discovery = std::move(names);
        update_links();
    }
}

void entry_process::implementation::on_control_members_request(const hello& from,
                                                               const control_members_request& request)
{
    const std::string& secret = subscriber.current()->key_secret;
    const time_point now = clock.now();
    if (contact.is_lost(now) || secret.empty())
    {
        log(log_level::info, "control_replicas_not_told",
            {{"peer", from.name}, {"contact_lost", contact.is_lost(now)}, {"has_secret", !secret.empty()}});
        return;
    }
    const std::vector<std::string> names = control.on_member_lists();
    log(log_level::info, "control_replicas_told", {{"peer", from.name}, {"names", joined_names(names)}});
    links.send(from.name,
               control_members_reply{request.number, names,
                                     distribution::member_list_proof(secret, request.number, names)});
}

void entry_process::implementation::on_control_members_reply(const hello& from,
                                                             const control_members_reply& reply)
{
    const bool proved = distribution::is_member_list_proved(subscriber.current()->key_secret, reply.number,
                                                            reply.names, reply.proof);
    const bool accepted =
        proved && contact.is_lost(clock.now()) && discovery.is_awaited(from.name, reply.number);
    log(log_level::info, "control_replicas_named",
        {{"by", from.name},
         {"names", joined_names(reply.names)},
         {"proved", proved},
         {"accepted", accepted}});
    if (accepted && control.on_named_by_entry(reply.names))
    {
        on_control_replicas_changed();
    }
}

void entry_process::implementation::search_settings(time_point now)
{
    if (now >= next_settings_reading_at)
    {
        next_settings_reading_at = now + settings_interval;
        reload_settings(settings_reload::cause::lost_contact);
    }
}

void entry_process::implementation::reload_settings(settings_reload::cause why)
{
    findings found;
    const std::string text = source.read(found);
    const settings_reload::outcome result = reloaded.on_read(why, text, found);
    log_outcome(result);
    if (result.replicas && control.set_configured(*result.replicas))
    {
        on_control_replicas_changed();
    }
}

void entry_process::implementation::log_leader_contact(time_point now)
{
    const bool lost = contact.is_lost(now);
    if (lost == contact_lost && (!lost || now < next_contact_line_at))
    {
        return;
    }
    contact_lost = lost;
    next_contact_line_at = now + contact_line_interval;
    if (!lost)
    {
        log(log_level::info, "leader_contact_restored",
            {{"leader", leader}, {"revision", subscriber.revision()}});
        return;
    }
    const std::vector<std::string> reached = reachable_control_replicas();
    log(log_level::warning, "leader_contact_lost",
        {{"for_ms", contact.since_confirmation(now).ms()},
         {"known", joined_names(names_of(control.addresses()))},
         {"reachable", joined_names(reached)},
         {"reachable_peers", reachable.size()},
         {"revision", subscriber.revision()}});
}

} // namespace flaxtiller::shell
