#include "entry_implementation.hpp"

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

constexpr double missed_reports_until_leader_lost = distribution::leader_contact::missed_reports_until_lost;

} // namespace

void entry_process::implementation::on_update(const hello& from, const distribution::revision_update& update)
{
    if (!subscriber.on_update(update))
    {
        report();
        return;
    }
    const duration behind = control_choice.behind_for(clock.now());
    control_choice.on_activated(subscriber.revision());
    apply_configuration();
    log(log_level::info, "revision_in_force",
        {{"revision", subscriber.revision()}, {"from", from.name}, {"behind_ms", behind.ms()}});
    report();
    update_confirmation_time();
}

void entry_process::implementation::on_confirmation(const hello& from,
                                                    const distribution::revision_confirmation& confirmation)
{
    const time_point now = clock.now();
    if (routed)
    {
        set_rate_limit_coordinator(from.name, true);
    }
    if (leader != from.name)
    {
        leader = from.name;
        leader_reported_at = time_point{};
    }
    leader_contact_at = now;
    leader_report_interval = std::max(settings.report_every, duration::from_ms(confirmation.report_every_ms));
    contact.on_confirmation(leader_report_interval, now);
    if (control.discard_lists_except(reachable))
    {
        on_control_replicas_changed();
    }
    subscriber.on_confirmation(confirmation, now);
    if (leader_revision != confirmation.revision)
    {
        leader_revision = confirmation.revision;
        log(log_level::info, "revision_confirmed",
            {{"by", from.name}, {"revision", confirmation.revision}, {"in_force", subscriber.revision()}});
    }
    control_choice.on_word(from.name, confirmation.revision, true);
    const bool now_behind = control_choice.on_current_revision(confirmation.revision, now);
    update_confirmation_time();
    if (now_behind)
    {
        schedule_follow_check();
    }
    if (confirmation.instances != entry_count && confirmation.instances > 0)
    {
        entry_count = confirmation.instances;
        log(log_level::info, "entries", {{"count", entry_count}});
        schedule_routing_update();
    }
}

/// If a replica names a leader other than the last known leader, and that one sent no confirmation lately,
/// the entry reports to the new leader at once, so that the new leader includes this entry when it counts
/// entries.
void entry_process::implementation::on_leader_named(const std::string& name)
{
    const time_point now = clock.now();
    const bool leader_contacted_recently =
        now - leader_contact_at < settings.report_every * missed_reports_until_leader_lost;
    if (name.empty() || name == leader || leader_contacted_recently)
    {
        return;
    }
    log(log_level::info, "leader_named", {{"leader", name}, {"before", leader}});
    leader = name;
    leader_contact_at = now;
    leader_reported_at = now;
    if (routed)
    {
        set_rate_limit_coordinator(leader, false);
    }
    links.send(leader, subscriber.report());
}

void entry_process::implementation::update_confirmation_time()
{
    const auto age = subscriber.age(clock.now());
    if (!subscriber.is_confirmed() || !age)
    {
        return;
    }
    const bool first = !serves();
    const time_point confirmed_at = clock.now() - *age;
    confirmed_at_us.store(confirmed_at.since_start().us(), std::memory_order_release);
    const time_point until = confirmed_at + validity.time(leader_report_interval);
    confirmed_until_us.store(until.since_start().us(), std::memory_order_relaxed);
    if (routed)
    {
        routed->set_confirmed(confirmed_at, until);
    }
    if (first)
    {
        log(log_level::info, "serving", {{"revision", subscriber.revision()}});
        if (routed)
        {
            routed->open();
        }
    }
}

/// Starts the warm-up of backend servers in availability zones that are no longer evacuated. Logs the
/// evacuated zones, and the routes that no availability zone may serve, since these explain most refused
/// requests.
void entry_process::implementation::apply_zone_changes()
{
    const configuration& current = *subscriber.current();
    if (current.evacuated_zones != evacuated_zones)
    {
        std::set<std::string> returned_zones;
        std::set_difference(evacuated_zones.begin(), evacuated_zones.end(), current.evacuated_zones.begin(),
                            current.evacuated_zones.end(),
                            std::inserter(returned_zones, returned_zones.end()));
        warmups.on_zones_restored(returned_zones, registered.present(), current.services, clock.now());
        evacuated_zones = current.evacuated_zones;
        log(log_level::info, "zones_evacuated",
            {{"zones", nlohmann::json(evacuated_zones).dump()}, {"revision", subscriber.revision()}});
    }
    for (const auto& [name, item] : current.routes)
    {
        const bool served = std::any_of(region_of_zone->begin(), region_of_zone->end(),
                                        [&](const auto& zone)
                                        {
                                            return item.allowed_regions.allows(zone.second);
                                        });
        if (!item.allowed_regions.is_any() && !served)
        {
            log(log_level::warning, "route_without_region",
                {{"route", name},
                 {"allowed_regions", nlohmann::json(item.allowed_regions).dump()},
                 {"revision", subscriber.revision()}});
        }
    }
}

void entry_process::implementation::apply_configuration()
{
    apply_zone_changes();
    const configuration& current = *subscriber.current();
    links.set_deployment(deployment_id::of_secret(current.key_secret));
    routes = std::make_shared<const route_table>(current.routes);
    if (!current.teams.is_shared_with(teams->teams()))
    {
        teams = std::make_shared<const team_table>(current.teams, current.key_secret);
        log(log_level::info, "teams_in_force",
            {{"teams", current.teams.size()}, {"revision", subscriber.revision()}});
    }
    if (routed)
    {
        routed_placement.configure(subscriber.revision(), *subscriber.current(), registered.present());
        update_routing();
    }
    if (settings.callers.port == 0)
    {
        return;
    }
    auto declared = std::make_shared<const placement>(place(subscriber.revision(), *subscriber.current()));
    auto next = std::make_shared<routing_snapshot>();
    next->placed = declared;
    const auto before = current_snapshot.load();
    for (const auto& [name, service] : declared->services)
    {
        const auto known = before->runners.find(name);
        const bool is_new = known == before->runners.end();
        auto runner = is_new ? std::make_shared<service_runner>(runner_context, name) : known->second;
        if (is_new)
        {
            send_reachable_peers(*runner);
        }
        next->runners.emplace(name, std::move(runner));
    }
    configure_pools(*declared, before->placed.get());
    for (const auto& [name, runner] : before->runners)
    {
        runner->post(placement_changed{declared});
    }
    for (const auto& [name, runner] : next->runners)
    {
        if (before->runners.count(name) == 0)
        {
            runner->post(placement_changed{declared});
            send_platform_list(*runner);
        }
    }
    current_snapshot.store(next);
    update_links();
}

void entry_process::implementation::send_reachable_peers(service_runner& runner)
{
    for (const std::string& name : reachable)
    {
        runner.post(peer_reachable{instance_name(name), true});
    }
}

void entry_process::implementation::send_platform_list(service_runner& runner)
{
    for (const auto& [server, leaving] : leaving_by_server)
    {
        runner.post(listed{server, leaving});
    }
}

void entry_process::implementation::update_links()
{
    std::vector<named_address> peers = control.addresses();
    const auto add_entry = [&](const instance_name& name)
    {
        const auto listed_entry = listed_entries.find(name);
        const auto at =
            listed_entry == listed_entries.end() ? std::nullopt : parse_address(listed_entry->second.address);
        if (at)
        {
            peers.push_back({name.str(), *at});
        }
    };
    for (const auto& [name, needed_at] : linked_entries)
    {
        add_entry(name);
    }
    for (const std::string& name : dialled_for_discovery)
    {
        add_entry(instance_name(name));
    }
    const auto snapshot = current_snapshot.load();
    const std::map<instance_name, instance> none;
    for (const auto& [name, item] : snapshot->placed ? snapshot->placed->instances : none)
    {
        const auto at = parse_address(item.address);
        if (at && name.str() != settings.instance.name)
        {
            peers.push_back({name.str(), *at});
        }
    }
    links.set_peers(peers);
}

void entry_process::implementation::configure_pools(const placement& placed, const placement* before)
{
    std::set<backend_server_name> kept;
    for (const auto& [name, service] : placed.services)
    {
        const auto instances = static_cast<int>(placed.instances.size());
        const int candidates = dispatch::candidate_count(*service, std::max(instances, 1));
        bool owned = false;
        for (std::size_t shard = 0; shard < service->shards.size(); ++shard)
        {
            if (shard % dispatch::shards_per_group == 0)
            {
                owned = is_first_reachable_owner(name, static_cast<int>(shard), placed);
            }
            for (const backend_server& server : service->shards[shard])
            {
                const auto at = parse_address(server.address);
                const dispatch::connection_share share = dispatch::share_of(server, candidates);
                kept.insert(server.name);
                // Connections are opened in advance only if this instance is the owner that will use them.
                pools.configure(server.name, at.value_or(address{}), share.connections,
                                owned ? share.connections : 0);
            }
        }
    }
    if (before == nullptr)
    {
        return;
    }
    for (const auto& [name, service] : before->services)
    {
        for (const auto& replicas : service->shards)
        {
            for (const backend_server& server : replicas)
            {
                if (kept.count(server.name) == 0)
                {
                    pools.remove(server.name);
                }
            }
        }
    }
}

bool entry_process::implementation::is_first_reachable_owner(const service_name& service, int shard,
                                                             const placement& placed) const
{
    const int group = shard / dispatch::shards_per_group;
    for (const instance_name& candidate : dispatch::owner_candidates(service, group, placed))
    {
        const bool self = candidate == runner_context.self;
        if (self || reachable.count(candidate.str()) > 0)
        {
            return self;
        }
    }
    return true;
}

std::vector<distribution::control_replica_selector::candidate>
entry_process::implementation::control_candidates() const
{
    using distance = distribution::control_replica_selector::distance;
    std::vector<distribution::control_replica_selector::candidate> candidates;
    for (const std::string& name : reachable)
    {
        const auto identity = links.identity(name);
        if (!identity || identity->role != "control")
        {
            continue;
        }
        const bool same_zone = identity->zone == settings.instance.availability_zone;
        const bool same_region = identity->region == settings.instance.region;
        candidates.push_back({name, same_zone     ? distance::in_zone
                                    : same_region ? distance::in_region
                                                  : distance::other_region});
    }
    return candidates;
}

void entry_process::implementation::log_unanswered_reports(time_point now)
{
    const std::string& followed = control_choice.followed();
    const auto answer = answered_at.find(followed);
    const bool unanswered = answer != answered_at.end() &&
                            now - answer->second >= settings.report_every * missed_reports_until_leader_lost;
    if (unanswered && !reports_unanswered)
    {
        log(log_level::warning, "reports_unanswered",
            {{"replica", followed},
             {"for_ms", (now - answer->second).ms()},
             {"reachable", reachable.count(followed) > 0}});
    }
    reports_unanswered = unanswered;
}

void entry_process::implementation::schedule_follow_check()
{
    const time_point now = clock.now();
    const time_point next = control_choice.next_check(serves(), now);
    if (next == time_point::never())
    {
        return;
    }
    after(follow_check_timer, std::max(next - now, duration{}),
          [this]
          {
              report();
          });
}

void entry_process::implementation::report()
{
    const time_point now = clock.now();
    log_unanswered_reports(now);
    const std::string before = control_choice.followed();
    const std::string followed = control_choice.choose(control_candidates(), leader, serves(), now);
    if (followed != before)
    {
        log(log_level::info, "control_followed",
            {{"replica", followed},
             {"before", before},
             {"before_reachable", reachable.count(before) > 0},
             {"before_said_revision", control_choice.reported_revision(before)},
             {"wanted_revision", leader_revision},
             {"revision", subscriber.revision()}});
        distribution::revision_report final_report = subscriber.report();
        final_report.wants_updates = false;
        links.send(before, final_report);
        if (routed)
        {
            // What was reported to the former replica may have ended with it.
            routed->report_all_crash_records();
        }
    }
    schedule_follow_check();
    const bool leader_known =
        reachable.count(leader) > 0 &&
        now - leader_contact_at < leader_report_interval * missed_reports_until_leader_lost;
    if (routed && !leader_known)
    {
        set_rate_limit_coordinator(control.first_by_name(), false);
    }
    // An entry that doesn't serve callers yet needs the confirmation of the leader, and reports every time.
    const bool leader_waits =
        serves() && now - leader_reported_at < leader_report_interval - settings.report_every * 0.5;
    (void)registered.forget({}, now);
    const registration_digest known{registered.digest()};
    for (const named_address& replica : control.addresses())
    {
        const bool follows = replica.name == followed;
        const bool leads = replica.name == leader;
        const bool is_asked = control_choice.is_excluded(replica.name);
        if (!follows && !is_asked && leader_known && (!leads || leader_waits))
        {
            continue;
        }
        leader_reported_at = leads ? now : leader_reported_at;
        distribution::revision_report outgoing = subscriber.report();
        outgoing.wants_updates = follows;
        links.send(replica.name, outgoing);
        if (routed && follows)
        {
            links.send(replica.name, known);
        }
    }
}

} // namespace flaxtiller::shell
