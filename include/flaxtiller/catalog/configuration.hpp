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

/// @brief The declarations of the operators, by name. Each revision has one immutable configuration.
struct configuration
{
    shared_map<service_name, service> services;
    shared_map<backend_server_name, backend_server> backend_servers;
    shared_map<std::string, placement_rule> placement_rules;
    shared_map<instance_name, instance> instances;
    shared_map<std::string, route> routes;
    shared_map<team_name, team> teams;
    /// The secret of the deployment, for the digests of the callers' keys and for proofs between processes.
    /// It is generated with the first change and never changes; see @ref key_digest and @ref
    /// distribution::member_list_proof.
    std::string key_secret;
    request_limits limits;
    /// The availability zones whose backend servers receive no new work. Only changes of the kind
    /// change_kind::evacuate modify this set; a complete document and a roll-back leave it unchanged.
    std::set<std::string> evacuated_zones;
    /// The operator's version number of this configuration, which only increases; 0 if operators assign none.
    std::int64_t version = 0;

    bool operator==(const configuration&) const = default;

    /// @brief Replaces each map that equals the one in @a before by that one, so that both configurations
    /// share it.
    void share_with(const configuration& before);

    /// @return a copy in which each key of a team is replaced by its digest, which is the form that entries
    /// receive
    configuration without_keys() const;

    /// @return a hash of the configuration, which is equal on all instances for equal configurations
    std::uint64_t digest() const;
};

void to_json(nlohmann::json& j, const configuration& value);

/// @brief Reads a complete document.
/// @param document `{"services": [...], "backend_servers": [...], "placement_rules": [...], "instances":
/// [...]}`
/// @param found receives all findings, each with a JSON pointer as its location
/// @return the configuration as far as it could be read; valid only if @a found has no errors
configuration parse_configuration(const nlohmann::json& document, findings& found);

/// @brief Applies a patch. Its key `upsert` contains items as in a document, and its key `remove` contains
/// lists of names.
/// @return @a base with the patch applied
configuration apply_patch(const configuration& base, const nlohmann::json& patch, findings& found);

/// @brief Computes the digest of a patched configuration from the items that the patch changes.
/// @param base the configuration before the patch
/// @param base_digest the digest of @a base
/// @param patched the configuration after the patch
/// @param patch the patch
/// @return the digest of @a patched, equal to the result of @ref configuration::digest
/// @complexity O(items in the patch)
std::uint64_t digest_after(const configuration& base, std::uint64_t base_digest, const configuration& patched,
                           const nlohmann::json& patch);

/// @brief Checks the relations between items, such as references to undeclared services, routes with the same
/// host and path prefix, keys shared by teams, selectors without a match, and shards without a backend
/// server.
///
/// Every replica applies this check to each change in the log, also to those that earlier versions accepted.
/// It must not become stricter; see @ref check_new.
findings validate(const configuration& value);

/// @brief Checks what only new configurations must fulfil, before they get into the log: routes with the same
/// path prefix have hosts that differ as @ref comparable_host compares them, and a time-out isn't too short
/// for any answer.
/// @return the errors
findings check_new(const configuration& value);

} // namespace flaxtiller
