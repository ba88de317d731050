#include <flaxtiller/catalog/placement.hpp>

#include "shard_label.hpp"

#include <algorithm>

namespace flaxtiller
{

namespace
{

void add_once(std::vector<backend_server>& holders, const backend_server& server)
{
    const auto same = [&](const backend_server& other)
    {
        return other.name == server.name;
    };
    if (std::none_of(holders.begin(), holders.end(), same))
    {
        holders.push_back(server);
    }
}

} // namespace

placement place(std::int64_t revision, const configuration& value)
{
    placement placed;
    placed.revision = revision;
    placed.instances = value.instances;
    for (const auto& [name, definition] : value.services)
    {
        placed_service entry{definition, {}};
        entry.shards.resize(static_cast<std::size_t>(definition.shards));
        placed.services.emplace(name, std::move(entry));
    }
    for (const auto& [rule_name, rule] : value.placement_rules)
    {
        std::vector<placed_service*> targets;
        for (auto& [name, entry] : placed.services)
        {
            if (rule.services.matches(entry.definition.labels))
            {
                targets.push_back(&entry);
            }
        }
        for (const auto& [server_name, server] : value.backend_servers)
        {
            const int shard =
                rule.backend_servers.matches(server.labels) ? detail::shard_of(rule, server) : -1;
            for (placed_service* target : targets)
            {
                if (shard >= 0 && shard < target->definition.shards)
                {
                    add_once(target->shards[static_cast<std::size_t>(shard)], server);
                }
            }
        }
    }
    return placed;
}

} // namespace flaxtiller
