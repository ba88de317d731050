#include <flaxtiller/catalog/placement_builder.hpp>

#include "label_index.hpp"
#include "shard_label.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

bool name_less(const backend_server& server, const backend_server_name& name)
{
    return server.name < name;
}

} // namespace

placement_builder::placement_builder(std::int64_t revision, const configuration& value)
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

void placement_builder::add_rule(const placement_rule& rule, std::vector<service_name> targets)
{
    const std::size_t index = m_rules.size();
    m_rules.push_back({rule, std::move(targets)});
    const auto* single = detail::single_value_of(rule.backend_servers);
    if (single == nullptr)
    {
        m_other_rules.push_back(index);
        return;
    }
    m_rules_by_label[single->first][single->second.front()].push_back(index);
}

void placement_builder::add_shards_of_rules(const std::vector<std::size_t>& rules,
                                            const backend_server& server, std::vector<held_shard>& into) const
{
    for (const std::size_t index : rules)
    {
        const rule_targets& item = m_rules[index];
        const int shard =
            item.rule.backend_servers.matches(server.labels) ? detail::shard_of(item.rule, server) : -1;
        // The services of one rule are distinct, so that only shards of earlier rules have to be compared.
        const auto count_before = static_cast<std::ptrdiff_t>(into.size());
        for (const service_name& service : item.services)
        {
            const held_shard held{service, static_cast<std::size_t>(shard)};
            const bool exists = shard >= 0 && shard < m_placed.services.at(service)->definition.shards;
            const auto end = into.begin() + count_before;
            if (exists && std::find(into.begin(), end, held) == end)
            {
                into.push_back(held);
            }
        }
    }
}

std::vector<placement_builder::held_shard> placement_builder::shards_of(const backend_server& server) const
{
    std::vector<held_shard> held;
    add_shards_of_rules(m_other_rules, server, held);
    for (const auto& [label, by_value] : m_rules_by_label)
    {
        const auto label_value = server.labels.find(label);
        const auto rules =
            label_value == server.labels.end() ? by_value.end() : by_value.find(label_value->second);
        if (rules != by_value.end())
        {
            add_shards_of_rules(rules->second, server, held);
        }
    }
    return held;
}

const std::vector<backend_server>& placement_builder::replicas_of(const held_shard& held) const
{
    const auto changed = m_changed.find(held.service);
    const placed_service& entry =
        changed == m_changed.end() ? *m_placed.services.at(held.service) : changed->second;
    return entry.shards[held.shard];
}

std::vector<backend_server>& placement_builder::mutable_replicas_of(const held_shard& held)
{
    auto changed = m_changed.find(held.service);
    if (changed == m_changed.end())
    {
        changed = m_changed.emplace(held.service, *m_placed.services.at(held.service)).first;
    }
    return changed->second.shards[held.shard];
}

void placement_builder::put_replica(const held_shard& held, const backend_server& server)
{
    const auto& current_replicas = replicas_of(held);
    const auto known =
        std::lower_bound(current_replicas.begin(), current_replicas.end(), server.name, name_less);
    const bool replaces = known != current_replicas.end() && known->name == server.name;
    if (replaces && *known == server)
    {
        return;
    }
    const auto position = known - current_replicas.begin();
    auto& replicas = mutable_replicas_of(held);
    if (replaces)
    {
        replicas[static_cast<std::size_t>(position)] = server;
        return;
    }
    replicas.insert(replicas.begin() + position, server);
}

void placement_builder::remove_replica(const held_shard& held, const backend_server_name& server)
{
    auto& replicas = mutable_replicas_of(held);
    const auto found = std::lower_bound(replicas.begin(), replicas.end(), server, name_less);
    if (found != replicas.end() && found->name == server)
    {
        replicas.erase(found);
    }
}

void placement_builder::put(const backend_server& declared)
{
    backend_server server = declared;
    server.leaving = server.leaving || m_evacuated_zones.count(server.availability_zone) > 0;
    std::vector<held_shard> held = shards_of(server);
    std::vector<held_shard>& before = m_held[server.name];
    for (const held_shard& item : before)
    {
        if (std::find(held.begin(), held.end(), item) == held.end())
        {
            remove_replica(item, server.name);
        }
    }
    for (const held_shard& item : held)
    {
        put_replica(item, server);
    }
    before = std::move(held);
}

void placement_builder::remove(const backend_server_name& server)
{
    const auto known = m_held.find(server);
    if (known == m_held.end())
    {
        return;
    }
    for (const held_shard& item : known->second)
    {
        remove_replica(item, server);
    }
    m_held.erase(known);
}

const placement& placement_builder::current()
{
    for (auto& [name, entry] : m_changed)
    {
        m_placed.services[name] = std::move(entry);
    }
    m_changed.clear();
    return m_placed;
}

void placement_builder::share_with(const placement& before)
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
