// The digest of a configuration, which is the sum of the hashes of its items.

#include <flaxtiller/catalog/configuration.hpp>

#include "configuration_keys.hpp"

#include <flaxtiller/core/hash.hpp>

#include <nlohmann/json.hpp>

#include <set>

namespace flaxtiller
{

using namespace detail;

namespace
{

template <typename Item>
std::uint64_t item_digest(const char* key, const Item& item)
{
    return hash64(nlohmann::json(item).dump(), hash64(key));
}

/// The digest is a sum of hashes, so that a patch changes the digest only by the hashes of the changed items.
template <typename Map>
std::uint64_t digest_of_map(const char* key, const Map& items)
{
    std::uint64_t sum = 0;
    for (const auto& [name, item] : items)
    {
        sum += item_digest(key, item);
    }
    return sum;
}

std::uint64_t digest_of_rest(const configuration& value)
{
    return item_digest(limits_key, value.limits) + item_digest(key_secret_key, value.key_secret) +
           item_digest(evacuated_zones_key, value.evacuated_zones) + item_digest(version_key, value.version);
}

/// @return the difference of the digests, computed from the items that the patch names
template <typename Map>
std::uint64_t digest_change(const char* key, const Map& before, const Map& after, const nlohmann::json& patch)
{
    std::set<typename Map::key_type> named;
    if (patch.contains("remove") && patch["remove"].contains(key))
    {
        for (const auto& name : patch["remove"][key])
        {
            named.insert(typename Map::key_type(name.template get<std::string>()));
        }
    }
    if (patch.contains("upsert") && patch["upsert"].contains(key))
    {
        for (const auto& item : patch["upsert"][key])
        {
            named.insert(typename Map::key_type(item.at("name").template get<std::string>()));
        }
    }
    std::uint64_t sum = 0;
    for (const auto& name : named)
    {
        const auto item_before = before.find(name);
        const auto item_after = after.find(name);
        sum -= item_before == before.end() ? 0 : item_digest(key, item_before->second);
        sum += item_after == after.end() ? 0 : item_digest(key, item_after->second);
    }
    return sum;
}

} // namespace

std::uint64_t configuration::digest() const
{
    return digest_of_map(services_key, services) + digest_of_map(backend_servers_key, backend_servers) +
           digest_of_map(placement_rules_key, placement_rules) + digest_of_map(instances_key, instances) +
           digest_of_map(routes_key, routes) + digest_of_map(teams_key, teams) + digest_of_rest(*this);
}

std::uint64_t digest_after(const configuration& base, std::uint64_t base_digest, const configuration& patched,
                           const nlohmann::json& patch)
{
    return base_digest + digest_change(services_key, base.services, patched.services, patch) +
           digest_change(backend_servers_key, base.backend_servers, patched.backend_servers, patch) +
           digest_change(placement_rules_key, base.placement_rules, patched.placement_rules, patch) +
           digest_change(instances_key, base.instances, patched.instances, patch) +
           digest_change(routes_key, base.routes, patched.routes, patch) +
           digest_change(teams_key, base.teams, patched.teams, patch) + digest_of_rest(patched) -
           digest_of_rest(base);
}

} // namespace flaxtiller
