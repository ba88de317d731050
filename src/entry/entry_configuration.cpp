#include "entry_implementation.hpp"

#include <flaxtiller/dispatch/owner_choice.hpp>

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

/// Unanswered reports after which another replica may lead.
constexpr double reports_until_leader_lost = 2.5;

} // namespace

void entry_process::implementation::on_update(const distribution::revision_update& update)
{
    if (!subscriber.on_update(update))
    {
        report();
        return;
    }
    control_choice.on_in_force(subscriber.revision());
    put_in_force();
    log(log_level::info, "revision_in_force", {{"revision", subscriber.revision()}});
    report();
    note_confirmed();
}

void entry_process::implementation::on_confirmation(const hello& from,
                                                    const distribution::revision_confirmation& word)
{
    const time_point now = clock.now();
    if (routed)
    {
        routed->set_limit_keeper(from.name, true);
    }
    leader = from.name;
    leader_heard_at = now;
    leader_report_every = std::max(settings.report_every, duration::from_ms(word.report_every_ms));
    subscriber.on_confirmation(word, now);
    if (leader_revision != word.revision)
    {
        leader_revision = word.revision;
        log(log_level::info, "revision_confirmed",
            {{"by", from.name}, {"revision", word.revision}, {"in_force", subscriber.revision()}});
    }
    const bool fell_behind = control_choice.on_wanted(word.revision, now);
    note_confirmed();
    if (fell_behind && !serves())
    {
        after(catch_up_timer, distribution::replica_choice::first_lag_bound,
              [this]
              {
                  report();
              });
    }
    if (word.instances != entries && word.instances > 0)
    {
        entries = word.instances;
        log(log_level::info, "entries", {{"count", entries}});
        update_routed_soon();
    }
}

/// A replica names another leader than the one that was heard last: it is told at once, so that it knows this
/// entry when it counts.
void entry_process::implementation::on_leader_named(const std::string& name)
{
    const time_point now = clock.now();
    const bool heard_lately = now - leader_heard_at < settings.report_every * reports_until_leader_lost;
    if (name.empty() || name == leader || heard_lately)
    {
        return;
    }
    log(log_level::info, "leader_named", {{"leader", name}, {"before", leader}});
    leader = name;
    leader_heard_at = now;
    leader_reported_at = now;
    if (routed)
    {
        routed->set_limit_keeper(leader, false);
    }
    links.send(leader, subscriber.report());
}

void entry_process::implementation::note_confirmed()
{
    const auto age = subscriber.age(clock.now());
    if (!subscriber.is_confirmed() || !age)
    {
        return;
    }
    const bool first = !serves();
    confirmed_at_us.store((clock.now() - *age).since_start().us(), std::memory_order_release);
    if (first)
    {
        log(log_level::info, "serving", {{"revision", subscriber.revision()}});
        if (routed)
        {
            routed->open();
        }
    }
}

/// Which zones are evacuated, and which routes no availability zone may serve: what an operator asks first
/// where requests are refused.
void entry_process::implementation::note_places()
{
    const configuration& current = *subscriber.current();
    if (current.evacuated_zones != evacuated_zones)
    {
        std::set<std::string> back;
        std::set_difference(evacuated_zones.begin(), evacuated_zones.end(), current.evacuated_zones.begin(),
                            current.evacuated_zones.end(), std::inserter(back, back.end()));
        warmups.on_zones_back(back, registered.present(), current.services, clock.now());
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

void entry_process::implementation::put_in_force()
{
    note_places();
    const configuration& current = *subscriber.current();
    routes = std::make_shared<const route_table>(current.routes);
    if (!current.teams.is_same(teams->teams()))
    {
        teams = std::make_shared<const team_table>(current.teams, current.key_secret);
        log(log_level::info, "teams_in_force",
            {{"teams", current.teams.size()}, {"revision", subscriber.revision()}});
    }
    if (routed)
    {
        routed_placement.configure(subscriber.revision(), *subscriber.current(), registered.present());
        update_routed();
    }
    if (settings.callers.port == 0)
    {
        return;
    }
    auto declared = std::make_shared<const placement>(place(subscriber.revision(), *subscriber.current()));
    auto next = std::make_shared<entry_routing>();
    next->placed = declared;
    const auto before = table.load();
    for (const auto& [name, service] : declared->services)
    {
        const auto known = before->lanes.find(name);
        const bool fresh = known == before->lanes.end();
        auto lane = fresh ? std::make_shared<service_lane>(lanes, name) : known->second;
        if (fresh)
        {
            tell_peers(*lane);
        }
        next->lanes.emplace(name, std::move(lane));
    }
    configure_pools(*declared, before->placed.get());
    for (const auto& [name, lane] : before->lanes)
    {
        lane->post(placement_changed{declared});
    }
    for (const auto& [name, lane] : next->lanes)
    {
        if (before->lanes.count(name) == 0)
        {
            lane->post(placement_changed{declared});
            tell_list(*lane);
        }
    }
    table.store(next);
    want_peers();
}

void entry_process::implementation::tell_peers(service_lane& lane)
{
    for (const std::string& name : reachable)
    {
        lane.post(peer_reachable{instance_name(name), true});
    }
}

void entry_process::implementation::tell_list(service_lane& lane)
{
    for (const auto& [server, leaving] : listed_leaving)
    {
        lane.post(listed{server, leaving});
    }
}

void entry_process::implementation::want_peers()
{
    std::vector<named_address> peers = control.present();
    for (const auto& [name, needed_at] : linked_entries)
    {
        const auto listed = listed_entries.find(name);
        const auto at = listed == listed_entries.end() ? std::nullopt : parse_address(listed->second.address);
        if (at)
        {
            peers.push_back({name.str(), *at});
        }
    }
    const auto now_in_force = table.load();
    const std::map<instance_name, instance> none;
    for (const auto& [name, item] : now_in_force->placed ? now_in_force->placed->instances : none)
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
            if (shard % dispatch::shards_per_owner == 0)
            {
                owned = first_owner(name, static_cast<int>(shard), placed);
            }
            for (const backend_server& server : service->shards[shard])
            {
                const auto at = parse_address(server.address);
                const dispatch::connection_share share = dispatch::share_of(server, candidates);
                kept.insert(server.name);
                // Connections are kept ready where this instance is the one that will use them.
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

bool entry_process::implementation::first_owner(const service_name& service, int shard,
                                                const placement& placed) const
{
    const int group = shard / dispatch::shards_per_owner;
    for (const instance_name& candidate : dispatch::owner_candidates(service, group, placed))
    {
        const bool self = candidate == lanes.self;
        if (self || reachable.count(candidate.str()) > 0)
        {
            return self;
        }
    }
    return true;
}

std::vector<distribution::replica_choice::candidate> entry_process::implementation::control_candidates() const
{
    using distance = distribution::replica_choice::distance;
    std::vector<distribution::replica_choice::candidate> candidates;
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
                                                  : distance::far});
    }
    return candidates;
}

void entry_process::implementation::report()
{
    const time_point now = clock.now();
    const std::string before = control_choice.followed();
    const std::string followed = control_choice.choose(control_candidates(), leader, serves(), now);
    if (followed != before)
    {
        log(log_level::info, "control_followed",
            {{"replica", followed},
             {"before", before},
             {"before_said_revision", control_choice.said(before)},
             {"wanted_revision", leader_revision},
             {"revision", subscriber.revision()}});
        distribution::revision_report farewell = subscriber.report();
        farewell.wants_updates = false;
        links.send(before, farewell);
    }
    if (followed.empty())
    {
        after(follow_timer, distribution::replica_choice::near_bound,
              [this]
              {
                  report();
              });
    }
    const bool leader_known = reachable.count(leader) > 0 &&
                              now - leader_heard_at < leader_report_every * reports_until_leader_lost;
    if (routed && !leader_known)
    {
        routed->set_limit_keeper(control.first(), false);
    }
    // One that doesn't serve yet waits for the leader's word.
    const bool leader_waits =
        serves() && now - leader_reported_at < leader_report_every - settings.report_every * 0.5;
    const registration_digest known{registered.digest()};
    for (const named_address& replica : control.present())
    {
        const bool follows = replica.name == followed;
        const bool leads = replica.name == leader;
        if (!follows && leader_known && (!leads || leader_waits))
        {
            continue;
        }
        leader_reported_at = leads ? now : leader_reported_at;
        distribution::revision_report word = subscriber.report();
        word.wants_updates = follows;
        links.send(replica.name, word);
        if (routed && follows)
        {
            links.send(replica.name, known);
        }
    }
}

} // namespace flaxtiller::shell
