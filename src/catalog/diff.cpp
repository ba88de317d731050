#include <flaxtiller/catalog/diff.hpp>

namespace flaxtiller
{

namespace
{

template <typename Map>
void diff_map(const char* key, const Map& from, const Map& to, nlohmann::json& patch)
{
    if (to.is_shared_with(from))
    {
        return;
    }
    for (const auto& [name, item] : to)
    {
        const auto before = from.find(name);
        if (before == from.end() || !(before->second == item))
        {
            patch["upsert"][key].push_back(item);
        }
    }
    for (const auto& [name, item] : from)
    {
        if (to.count(name) == 0)
        {
            patch["remove"][key].push_back(name);
        }
    }
}

} // namespace

nlohmann::json diff(const configuration& from, const configuration& to)
{
    nlohmann::json patch = nlohmann::json::object();
    diff_map("services", from.services, to.services, patch);
    diff_map("backend_servers", from.backend_servers, to.backend_servers, patch);
    diff_map("placement_rules", from.placement_rules, to.placement_rules, patch);
    diff_map("instances", from.instances, to.instances, patch);
    diff_map("routes", from.routes, to.routes, patch);
    diff_map("teams", from.teams, to.teams, patch);
    if (from.key_secret != to.key_secret)
    {
        patch["upsert"]["key_secret"] = to.key_secret;
    }
    if (!(from.limits == to.limits))
    {
        patch["upsert"]["request_limits"] = to.limits;
    }
    if (from.evacuated_zones != to.evacuated_zones)
    {
        patch["upsert"]["evacuated_zones"] = to.evacuated_zones;
    }
    if (from.version != to.version)
    {
        patch["upsert"]["version"] = to.version;
    }
    return patch;
}

} // namespace flaxtiller
