#include <flaxtiller/catalog/placer.hpp>

#include "label_index.hpp"
#include "shard_label.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

bool before_by_name(const backend_server& server, const backend_server_name& name)
{
    return server.name < name;
}

} // namespace

placer::placer(std::int64_t revision, const configuration& value)
{
    m_placed.revision = revision;
    m_placed.instances = value.instances;
    m_evacuated_zones = value.evacuated_zones;
    for (const auto& [name, definition] : value.services)
    {
        placed_service entry{definition, {}};
        entry.shards.resize(static_cast<std::size_t>(definition.shards));
        m_placed.services.emplace(name, std::move(entry));
    }
    detail::label_index<const service> services(value.services,
                                                [](const service& item) -> const labels&
                                                {
                                                    return item.labels;
                                                });
    for (const auto& [name, rule] : value.placement_rules)
    {
        std::vector<service_name> targets;
        for (const service* target : services.matching(rule.services))
        {
            targets.push_back(target->name);
        }
        add_rule(rule, std::move(targets));
    }
}

void placer::add_rule(const placement_rule& rule, std::vector<service_name> targets)
{
    const std::size_t at = m_rules.size();
    m_rules.push_back({rule, std::move(targets)});
    const auto* single = detail::single_value_of(rule.backend_servers);
    if (single == nullptr)
    {
        m_other_rules.push_back(at);
        return;
    }
    m_rules_by_label[single->first][single->second.front()].push_back(at);
}

void placer::add_shards_by(const std::vector<std::size_t>& rules, const backend_server& server,
                           std::vector<held_shard>& into) const
{
    for (const std::size_t at : rules)
    {
        const rule_targets& item = m_rules[at];
        const int shard =
            item.rule.backend_servers.matches(server.labels) ? detail::shard_of(item.rule, server) : -1;
        // One rule names a service once; only another rule may have given it the shard already.
        const auto by_others = static_cast<std::ptrdiff_t>(into.size());
        for (const service_name& service : item.services)
        {
            const held_shard held{service, static_cast<std::size_t>(shard)};
            const bool exists = shard >= 0 && shard < m_placed.services.at(service)->definition.shards;
            const auto end = into.begin() + by_others;
            if (exists && std::find(into.begin(), end, held) == end)
            {
                into.push_back(held);
            }
        }
    }
}

std::vector<placer::held_shard> placer::shards_of(const backend_server& server) const
{
    std::vector<held_shard> held;
    add_shards_by(m_other_rules, server, held);
    for (const auto& [label, by_value] : m_rules_by_label)
    {
        const auto has = server.labels.find(label);
        const auto rules = has == server.labels.end() ? by_value.end() : by_value.find(has->second);
        if (rules != by_value.end())
        {
            add_shards_by(rules->second, server, held);
        }
    }
    return held;
}

const std::vector<backend_server>& placer::replicas_of(const held_shard& held) const
{
    const auto changed = m_changed.find(held.service);
    const placed_service& entry =
        changed == m_changed.end() ? *m_placed.services.at(held.service) : changed->second;
    return entry.shards[held.shard];
}

std::vector<backend_server>& placer::replicas_to_change(const held_shard& held)
{
    auto changed = m_changed.find(held.service);
    if (changed == m_changed.end())
    {
        changed = m_changed.emplace(held.service, *m_placed.services.at(held.service)).first;
    }
    return changed->second.shards[held.shard];
}

void placer::put_at(const held_shard& held, const backend_server& server)
{
    const auto& present = replicas_of(held);
    const auto known = std::lower_bound(present.begin(), present.end(), server.name, before_by_name);
    const bool replaces = known != present.end() && known->name == server.name;
    if (replaces && *known == server)
    {
        return;
    }
    const auto at = known - present.begin();
    auto& replicas = replicas_to_change(held);
    if (replaces)
    {
        replicas[static_cast<std::size_t>(at)] = server;
        return;
    }
    replicas.insert(replicas.begin() + at, server);
}

void placer::remove_at(const held_shard& held, const backend_server_name& server)
{
    auto& replicas = replicas_to_change(held);
    const auto at = std::lower_bound(replicas.begin(), replicas.end(), server, before_by_name);
    if (at != replicas.end() && at->name == server)
    {
        replicas.erase(at);
    }
}

void placer::put(const backend_server& given)
{
    backend_server server = given;
    server.leaving = server.leaving || m_evacuated_zones.count(server.availability_zone) > 0;
    std::vector<held_shard> held = shards_of(server);
    std::vector<held_shard>& before = m_held[server.name];
    for (const held_shard& item : before)
    {
        if (std::find(held.begin(), held.end(), item) == held.end())
        {
            remove_at(item, server.name);
        }
    }
    for (const held_shard& item : held)
    {
        put_at(item, server);
    }
    before = std::move(held);
}

void placer::remove(const backend_server_name& server)
{
    const auto known = m_held.find(server);
    if (known == m_held.end())
    {
        return;
    }
    for (const held_shard& item : known->second)
    {
        remove_at(item, server);
    }
    m_held.erase(known);
}

const placement& placer::current()
{
    for (auto& [name, entry] : m_changed)
    {
        m_placed.services[name] = std::move(entry);
    }
    m_changed.clear();
    return m_placed;
}

void placer::share_with(const placement& before)
{
    (void)current();
    for (auto& [name, entry] : m_placed.services)
    {
        const auto known = before.services.find(name);
        if (known != before.services.end() && known->second == entry)
        {
            entry = known->second;
        }
    }
}

} // namespace flaxtiller
