#include "entry_implementation.hpp"
#include "process/registration_lines.hpp"

#include <flaxtiller/core/hash.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// Changes of registrations, entries or reachability that arrive within this delay are applied in one update
/// of the routing. Operators and backend servers rely on no change to take effect within less than seconds.
constexpr duration min_update_delay = duration::from_ms(100);
/// Each registration changed since the previous update lengthens the delay by this much, up to
/// @ref max_update_delay. While thousands of backend servers register, ten updates per second took most of
/// the CPU time of a small instance.
constexpr duration update_delay_per_change = duration::from_ms(5);
constexpr duration max_update_delay = duration::from_ms(500);
/// A link is kept open for this long after it was last needed. The owners of shards change whenever backend
/// servers come and go, and opening a new link costs more than one minute of heartbeats.
constexpr duration unused_link_lifetime = duration::from_ms(60000);
/// Number of entries of each other region to link to. With three links, one entry may fail and another may be
/// skipped because of back-off.
constexpr std::size_t links_per_remote_region = 3;

} // namespace

void entry_process::implementation::on_message(const std::shared_ptr<const hello>& from,
                                               const std::shared_ptr<const link_message>& message)
{
    if (const auto* delegated = std::get_if<ask_message>(&*message))
    {
        post_to_service(delegated->service, peer_delegated{instance_name(from->name), delegated->subqueries});
    }
    else if (const auto* answered = std::get_if<answer_message>(&*message))
    {
        post_to_service(answered->service, peer_answered{instance_name(from->name), answered->results});
    }
    else if (const auto* abandoned = std::get_if<abandon_message>(&*message))
    {
        post_to_service(abandoned->service, peer_abandoned{instance_name(from->name), abandoned->numbers});
    }
    else if (const auto* returned = std::get_if<register_return>(&*message))
    {
        registers.on_return(from->name, *returned);
    }
    else if (!on_routed(*from, message))
    {
        net::post(strand,
                  [this, from, message]
                  {
                      on_cluster_message(*from, *message);
                  });
    }
}

bool entry_process::implementation::on_routed(const hello& from,
                                              const std::shared_ptr<const link_message>& message)
{
    if (!routed)
    {
        return false;
    }
    if (const auto* delegated = std::get_if<routed_ask>(&*message))
    {
        routed->on_delegation(from.name, {message, delegated});
        return true;
    }
    if (const auto* returned = std::get_if<routed_return>(&*message))
    {
        routed->on_delegation_outcome(from.name, {message, returned});
        return true;
    }
    if (const auto* abandoned = std::get_if<routed_abandon>(&*message))
    {
        routed->on_delegation_abandoned(from.name, *abandoned);
        return true;
    }
    if (const auto* crashes = std::get_if<crash_news>(&*message))
    {
        routed->on_crash_update(from.name, {message, crashes});
        return true;
    }
    if (const auto* limits = std::get_if<limit_update>(&*message))
    {
        routed->on_limit_update(from.name, {message, limits});
        return true;
    }
    return false;
}

void entry_process::implementation::on_cluster_message(const hello& from, const link_message& message)
{
    const bool states_revision = std::holds_alternative<distribution::revision_update>(message) ||
                                 std::holds_alternative<distribution::revision_confirmation>(message) ||
                                 std::holds_alternative<distribution::revision_report>(message) ||
                                 std::holds_alternative<entry_list>(message);
    const bool has_deployment = !subscriber.current()->key_secret.empty();
    if (states_revision && has_deployment && from.deployment && !from.deployment->is_known())
    {
        // A replica without the deployment's configuration doesn't lead it, and may lead another one that has
        // no configuration yet.
        return;
    }
    if (const auto* update = std::get_if<distribution::revision_update>(&message))
    {
        on_update(from, *update);
    }
    else if (const auto* confirmation = std::get_if<distribution::revision_confirmation>(&message))
    {
        answered_at[from.name] = clock.now();
        on_confirmation(from, *confirmation);
    }
    else if (const auto* registrations = std::get_if<registration_update>(&message))
    {
        on_registrations(from, *registrations);
    }
    else if (const auto* revision_state = std::get_if<distribution::revision_report>(&message))
    {
        answered_at[from.name] = clock.now();
        control_choice.on_word(from.name, revision_state->revision, !revision_state->leader.empty());
        if (from.name == control_choice.followed())
        {
            contact.on_followed_replica(!revision_state->leader.empty(), clock.now());
        }
        on_leader_named(revision_state->leader);
    }
    else if (const auto* member_list = std::get_if<control_members>(&message))
    {
        on_control_members(from, *member_list);
    }
    else if (const auto* request = std::get_if<control_members_request>(&message))
    {
        on_control_members_request(from, *request);
    }
    else if (const auto* reply = std::get_if<control_members_reply>(&message))
    {
        on_control_members_reply(from, *reply);
    }
    else if (const auto* list = std::get_if<entry_list>(&message))
    {
        on_entry_list(*list);
    }
}

void entry_process::implementation::on_registrations(const hello& from, const registration_update& update)
{
    const time_point now = clock.now();
    bool changed = false;
    for (const registration& reported : update.items)
    {
        changed = registered.merge(reported, now) || changed;
    }
    if (update.whole)
    {
        changed = registered.mark_unlisted_lost(update.items, now) || changed;
    }
    log_refused_reports(registered.take_refused(), from.name);
    if (!changed)
    {
        return;
    }
    const std::vector<registration> changes = registered.take_changes();
    registered_at.on_changes(changes, now);
    changes_since_update += changes.size();
    routed_placement.apply(changes);
    for (const registration& item : changes)
    {
        warmups.on_registration(item, now);
    }
    log_registrations(from, changes);
    schedule_routing_update();
}

void entry_process::implementation::log_registrations(const hello& from,
                                                      const std::vector<registration>& changes)
{
    // At start-up the update holds all registrations. Each registration is in the log of the control replica.
    constexpr std::size_t max_lines = 32;
    if (changes.size() > max_lines)
    {
        log(log_level::info, "registrations",
            {{"items", changes.size()}, {"from", from.name}, {"unavailable", unavailable_names(changes)}});
        return;
    }
    for (const registration& item : changes)
    {
        log(log_level::info, "registration",
            {{"backend_server", item.id.str()},
             {"service", item.service.str()},
             {"state", name_of(item.state)},
             {"sequence", item.sequence},
             {"born_ms", item.born_ms},
             {"warmup_ms", item.warmup_left.ms()},
             {"from", from.name}});
    }
}

void entry_process::implementation::on_control_members(const hello& from, const control_members& member_list)
{
    if (control.on_member_list(from.name, member_list.names))
    {
        on_control_replicas_changed();
    }
}

void entry_process::implementation::on_control_replicas_changed()
{
    log(log_level::info, "control_replicas", {{"count", control.addresses().size()}});
    registers.set_replicas(names_of(control.addresses()));
    update_links();
}

void entry_process::implementation::schedule_routing_update()
{
    if (!routed || routing_update_pending)
    {
        return;
    }
    routing_update_pending = true;
    const duration wanted =
        update_delay_per_change * static_cast<double>(std::exchange(changes_since_update, 0));
    after(routing_update_timer, std::clamp(wanted, min_update_delay, max_update_delay),
          [this]
          {
              update_routing();
          });
}

void entry_process::implementation::update_routing()
{
    routing_update_pending = false;
    routing_view view;
    view.placed = routed_placement.current();
    view.routes = routes;
    view.teams = teams;
    view.cold = warmups.current(clock.now());
    view.entries = entry_count;
    view.self = instance_name(settings.instance.name);
    view.region = settings.instance.region;
    view.zone = settings.instance.availability_zone;
    view.region_of_zone = region_of_zone;
    view.peers = listed_peers;
    update_unreachable();
    view.unreachable = unreachable;
    routed->update(view, subscriber.current()->limits);
}

void entry_process::implementation::update_unreachable()
{
    std::set<instance_name> next;
    for (const auto& [name, peer] : listed_entries)
    {
        if (reachable.count(name.str()) == 0)
        {
            next.insert(name);
        }
    }
    if (next != *unreachable)
    {
        unreachable = std::move(next);
    }
}

std::set<instance_name> entry_process::implementation::remote_entries() const
{
    std::map<std::string, std::map<std::uint64_t, instance_name>> by_region;
    for (const auto& [name, item] : listed_entries)
    {
        if (item.region != settings.instance.region)
        {
            by_region[item.region].emplace(hash64(settings.instance.name + '/' + name.str()), name);
        }
    }
    std::set<instance_name> chosen;
    for (const auto& [region, ranked] : by_region)
    {
        std::size_t taken = 0;
        for (const auto& [rank, name] : ranked)
        {
            if (taken++ < links_per_remote_region)
            {
                chosen.insert(name);
            }
        }
    }
    return chosen;
}

void entry_process::implementation::link_to_entries(const std::set<instance_name>& owners)
{
    std::set<instance_name> needed = remote_entries();
    needed.insert(owners.begin(), owners.end());
    const time_point now = clock.now();
    bool changed = false;
    for (const instance_name& name : needed)
    {
        // An owner may have been removed from the entry list since the owners were computed.
        if (listed_entries.count(name) > 0)
        {
            changed = linked_entries.insert_or_assign(name, now).second || changed;
        }
    }
    const auto removed = std::erase_if(linked_entries,
                                       [&](const auto& item)
                                       {
                                           return now - item.second > unused_link_lifetime ||
                                                  listed_entries.count(item.first) == 0;
                                       });
    if (!changed && removed == 0)
    {
        return;
    }
    log(log_level::info, "entries_linked",
        {{"linked", linked_entries.size()}, {"listed", listed_entries.size()}});
    update_links();
}

void entry_process::implementation::on_entry_list(const entry_list& list)
{
    if (list.whole)
    {
        listed_entries.clear();
    }
    for (const entry_peer& item : list.items)
    {
        if (item.name.str() != settings.instance.name)
        {
            listed_entries.insert_or_assign(item.name, item);
        }
    }
    for (const instance_name& name : list.gone)
    {
        listed_entries.erase(name);
    }
    std::vector<entry_peer> peers;
    for (const auto& [name, peer] : listed_entries)
    {
        peers.push_back(peer);
    }
    listed_peers = std::move(peers);
    schedule_routing_update();
}

void entry_process::implementation::report_crash_records(const crash_news& crash_update)
{
    const std::string& followed = control_choice.followed();
    if (reachable.count(followed) > 0)
    {
        links.send(followed, crash_update);
        return;
    }
    std::vector<std::string> all;
    for (const named_address& replica : control.addresses())
    {
        all.push_back(replica.name);
    }
    links.send(all, crash_update);
}

void entry_process::implementation::report_to_witnesses(const limit_report& report,
                                                        const std::string& coordinator)
{
    witnesses.clear();
    for (const named_address& replica : control.addresses())
    {
        if (replica.name != coordinator && reachable.count(replica.name) > 0)
        {
            witnesses.insert(replica.name);
        }
    }
    links.send(std::vector<std::string>(witnesses.begin(), witnesses.end()), report);
}

void entry_process::implementation::set_rate_limit_coordinator(const std::string& name, bool contacted_now)
{
    routed->set_rate_limit_coordinator(name, contacted_now, witnesses.count(name) > 0);
}

void entry_process::implementation::post_to_service(const service_name& service, coordinator_event event)
{
    const auto snapshot = current_snapshot.load();
    const auto runner = snapshot->runners.find(service);
    if (runner != snapshot->runners.end())
    {
        runner->second->post(std::move(event));
    }
}

void entry_process::implementation::on_reachable(const std::string& name, bool up)
{
    net::post(strand,
              [this, name, up]
              {
                  up ? (void)reachable.insert(name) : (void)reachable.erase(name);
                  if (!up && control.knows(name))
                  {
                      control_choice.on_lost(name, clock.now());
                      schedule_follow_check();
                  }
                  if (!up && control.on_unreachable(name))
                  {
                      on_control_replicas_changed();
                  }
                  if (up && control.knows(name))
                  {
                      // The answer to the report confirms the configuration; without a confirmation, a
                      // starting entry doesn't serve callers.
                      report();
                      if (routed)
                      {
                          routed->report_all_crash_records();
                      }
                  }
                  if (routed && linked_entries.count(instance_name(name)) > 0)
                  {
                      if (!up)
                      {
                          routed->on_entry_unreachable(name);
                      }
                      schedule_routing_update();
                  }
                  const auto snapshot = current_snapshot.load();
                  for (const auto& [service, runner] : snapshot->runners)
                  {
                      runner->post(peer_reachable{instance_name(name), up});
                  }
              });
}

} // namespace flaxtiller::shell
