// Checks of the relations between the items of a configuration.

#include <flaxtiller/catalog/configuration.hpp>

#include "configuration_keys.hpp"
#include "label_index.hpp"
#include "shard_label.hpp"

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/routing/route_host.hpp>

#include <map>
#include <set>
#include <vector>

namespace flaxtiller
{

using namespace detail;

namespace
{

/// No answer arrives within less.
constexpr duration min_timeout = duration::from_ms(1);

/// Checks the selectors and shard labels of a rule. The items are found by label, because a comparison of
/// each rule with each item took 50,000 steps for 225 services with one rule each.
void check_rule(const placement_rule& rule, label_index<const service>& services,
                label_index<const backend_server>& servers, findings& found)
{
    const std::string place = std::string("/") + placement_rules_key + "/" + rule.name;
    if (services.matching(rule.services).empty())
    {
        found.warning(errc::selector_matches_nothing, place + "/services", "no service matches");
    }
    const std::vector<const backend_server*> selected = servers.matching(rule.backend_servers);
    if (selected.empty())
    {
        found.warning(errc::selector_matches_nothing, place + "/backend_servers",
                      "no backend server matches");
    }
    for (const backend_server* server : selected)
    {
        if (detail::shard_of(rule, *server) < 0)
        {
            found.warning(errc::unknown_shard, place + "/shard_label",
                          "backend server " + server->name.str() + " has no shard number in label " +
                              rule.shard_label);
        }
    }
}

void check_rules(const configuration& value, findings& found)
{
    const auto labels_of = [](const auto& item) -> const labels&
    {
        return item.labels;
    };
    label_index<const service> services(value.services, labels_of);
    label_index<const backend_server> servers(value.backend_servers, labels_of);
    for (const auto& [name, rule] : value.placement_rules)
    {
        check_rule(rule, services, servers, found);
    }
}

void check_route_services(const configuration& value, const route& item, findings& found)
{
    const auto check = [&](const service_name& service)
    {
        if (!found.is_full() && value.services.count(service) == 0)
        {
            found.error(errc::unknown_name, std::string("/") + routes_key + "/" + item.name,
                        "service " + service.str() + " isn't declared");
        }
    };
    for (const weighted_service& target : item.targets)
    {
        check(target.service);
    }
    for (const service_name& service : item.fan_out)
    {
        check(service);
    }
}

void check_routes(const configuration& value, findings& found)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const auto& [name, item] : value.routes)
    {
        check_route_services(value, item, found);
        if (!seen.emplace(item.host, item.path_prefix).second)
        {
            found.error(errc::duplicate_name, std::string("/") + routes_key + "/" + name,
                        "another route has the same host and path prefix");
        }
    }
}

/// Checks that each key belongs to one team only. The findings contain the names of the teams but never a
/// key.
void check_teams(const configuration& value, findings& found)
{
    std::map<std::string, team_name> team_by_key;
    for (const auto& [name, item] : value.teams)
    {
        for (std::size_t i = 0; i < item.keys.size(); ++i)
        {
            const auto [holder, fresh] = team_by_key.emplace(item.keys[i], name);
            if (!fresh && holder->second != name)
            {
                found.error(errc::duplicate_key,
                            std::string("/") + teams_key + "/" + name.str() + "/keys/" + std::to_string(i),
                            "team " + holder->second.str() + " has the same key");
            }
        }
    }
}

} // namespace

findings check_new(const configuration& value)
{
    findings found;
    std::map<std::pair<std::string, std::string>, std::string> route_by_place;
    for (const auto& [name, item] : value.routes)
    {
        const std::string place = std::string("/") + routes_key + "/" + name;
        const auto [other, is_first] =
            route_by_place.emplace(std::pair(comparable_host(item.host), item.path_prefix), name);
        if (!is_first)
        {
            found.error(errc::duplicate_name, place,
                        "route " + other->second + " has the same host and path prefix");
        }
        if (item.timeout < min_timeout)
        {
            found.error(errc::out_of_range, place, "the time-out must be at least a millisecond");
        }
    }
    return found;
}

findings validate(const configuration& value)
{
    findings found;
    check_routes(value, found);
    check_teams(value, found);
    check_rules(value, found);
    const placement placed = place(0, value);
    for (const auto& [name, entry] : placed.services)
    {
        for (std::size_t shard = 0; shard < entry->shards.size(); ++shard)
        {
            if (entry->shards[shard].empty())
            {
                found.warning(errc::shard_without_backend_server, "/services/" + name.str(),
                              "shard " + std::to_string(shard) + " has no backend server");
            }
        }
    }
    return found;
}

} // namespace flaxtiller
