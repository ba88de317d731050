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

/// @brief A group of callers that share keys and a rate limit.
///
/// Control replicas store the keys in plain text, since an operator who reads the configuration gets back the
/// keys that were written. Entries receive only @ref key_digests; see @ref without_keys.
struct team
{
    team_name name;
    std::vector<std::string> keys;
    std::vector<key_digest> key_digests;
    /// Takes precedence over the priority of the route; 0 is the highest priority.
    std::optional<int> priority;
    rate_limit limit;
    /// The regions where requests of the team may be executed or forwarded to, in addition to the
    /// restrictions of the route.
    region_set allowed_regions;

    bool operator==(const team&) const = default;

    /// @return a copy for entries, in which digests replace the keys
    team without_keys(const std::string& secret) const;
};

void to_json(nlohmann::json& j, const team& value);

/// @brief Parses a team. Errors are added to the findings of the reader, which never contain a key.
void read_item(json_reader& reader, team& into);

} // namespace flaxtiller
