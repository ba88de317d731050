#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/teams/key_digest.hpp>
#include <flaxtiller/teams/rate_limit.hpp>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief Callers that share keys and a limit.
///
/// Control replicas hold the keys as the operator wrote them, since an operator gets back what was sent;
/// entries get only @ref key_digests. See @ref without_keys.
struct team
{
    team_name name;
    std::vector<std::string> keys;
    std::vector<key_digest> key_digests;
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    std::optional<int> priority;
    rate_limit limit;
    /// Where its requests may be run and passed on to, beside what their route says.
    region_set allowed_regions;

    bool operator==(const team&) const = default;

    /// @return this team as entries know it: each key by its digest
    team without_keys(const std::string& secret) const;
};

void to_json(nlohmann::json& j, const team& value);

/// @brief Reads one team; every fault goes to the reader's findings, which never name a key.
void read_item(json_reader& reader, team& into);

} // namespace flaxtiller
