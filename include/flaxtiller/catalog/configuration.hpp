#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/catalog/instance.hpp>
#include <flaxtiller/catalog/placement_rule.hpp>
#include <flaxtiller/catalog/service.hpp>
#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/core/shared_map.hpp>
#include <flaxtiller/routing/request_limits.hpp>
#include <flaxtiller/routing/route.hpp>
#include <flaxtiller/teams/team.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace flaxtiller
{

/// @brief All that operators declared, by name; one immutable value a revision.
struct configuration
{
    shared_map<service_name, service> services;
    shared_map<backend_server_name, backend_server> backend_servers;
    shared_map<std::string, placement_rule> placement_rules;
    shared_map<instance_name, instance> instances;
    shared_map<std::string, route> routes;
    shared_map<team_name, team> teams;
    /// What the digests of callers' keys are made with; drawn once and never changed. See @ref key_digest.
    std::string key_secret;
    request_limits limits;
    /// Availability zones whose backend servers get nothing new. Set by orders of their own
    /// (change_kind::evacuate); a whole document or an earlier revision leaves it as it is.
    std::set<std::string> evacuated_zones;
    /// The operator's own number of this configuration; it only grows. 0 where operators don't number them.
    std::int64_t version = 0;

    bool operator==(const configuration&) const = default;

    /// @brief Takes the maps that are equal from @a before, so that both share them.
    void share_with(const configuration& before);

    /// @return the same as entries get it: each key of a team by its digest
    configuration without_keys() const;

    /// @return a hash of the canonical document, equal on every machine for equal configurations
    std::uint64_t digest() const;
};

void to_json(nlohmann::json& j, const configuration& value);

/// @brief Reads a whole document.
/// @param document `{"services": [...], "backend_servers": [...], "placement_rules": [...], "instances":
/// [...]}`
/// @param found takes every finding, with a JSON pointer as its place
/// @return what could be read; use it only if @a found has no errors
configuration parse_configuration(const nlohmann::json& document, findings& found);

/// @brief Applies a patch: `upsert` holds items like those of a document, `remove` holds lists of names.
/// @return @a base with the patch applied
configuration apply_patch(const configuration& base, const nlohmann::json& patch, findings& found);

/// @brief Works out the digest of a patched configuration from the items that the patch touches.
/// @param base_digest the digest of @a base
/// @return the digest of @a patched, as @ref configuration::digest would work it out from all items
/// @complexity O(items in the patch)
std::uint64_t digest_after(const configuration& base, std::uint64_t base_digest, const configuration& patched,
                           const nlohmann::json& patch);

/// @brief Checks what spans several items: selectors that match nothing, shards without a backend server.
findings validate(const configuration& value);

} // namespace flaxtiller
