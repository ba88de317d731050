// What spans several items of a configuration.

#include <flaxtiller/catalog/configuration.hpp>

#include "configuration_keys.hpp"
#include "shard_label.hpp"

#include <flaxtiller/catalog/placement.hpp>

#include <algorithm>
#include <set>

namespace flaxtiller
{

using namespace detail;

namespace
{

void check_rule(const configuration& value, const placement_rule& rule, findings& found)
{
    const std::string place = std::string("/") + placement_rules_key + "/" + rule.name;
    const auto selects_service = [&](const auto& item)
    {
        return rule.services.matches(item.second.labels);
    };
    const auto selects_server = [&](const auto& item)
    {
        return rule.backend_servers.matches(item.second.labels);
    };
    if (std::none_of(value.services.begin(), value.services.end(), selects_service))
    {
        found.warning(errc::selector_matches_nothing, place + "/services", "no service matches");
    }
    if (std::none_of(value.backend_servers.begin(), value.backend_servers.end(), selects_server))
    {
        found.warning(errc::selector_matches_nothing, place + "/backend_servers",
                      "no backend server matches");
    }
    for (const auto& [name, server] : value.backend_servers)
    {
        if (rule.backend_servers.matches(server.labels) && detail::shard_of(rule, server) < 0)
        {
            found.warning(errc::unknown_shard, place + "/shard_label",
                          "backend server " + name.str() + " has no shard number in label " +
                              rule.shard_label);
        }
    }
}

void check_route_services(const configuration& value, const route& item, findings& found)
{
    const auto check = [&](const service_name& service)
    {
        if (value.services.count(service) == 0)
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

} // namespace

findings validate(const configuration& value)
{
    findings found;
    check_routes(value, found);
    for (const auto& [name, rule] : value.placement_rules)
    {
        check_rule(value, rule, found);
    }
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
