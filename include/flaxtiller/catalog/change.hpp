#pragma once

#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief The form in which a change describes the new configuration.
enum class change_kind
{
    /// The body is a complete document; see @ref parse_configuration.
    replace,
    /// The body is a patch; see @ref apply_patch.
    patch,
    /// The body is `{"revision": n}`. The configuration of that revision becomes a new revision.
    roll_back,
    /// The body is `{"availability_zone": name, "evacuated": true or false}`. The backend servers of an
    /// evacuated availability zone receive no new work. The base revision is ignored; of several orders for
    /// one availability zone, the last committed one is in force.
    evacuate,
};

/// @brief A change of the configuration that an operator requests. A repeated change with the same id has no
/// effect.
struct change
{
    change_id id;
    /// The revision that the change is based on. The change is refused if this is not the current revision.
    std::int64_t base_revision = 0;
    change_kind kind = change_kind::replace;
    nlohmann::json body;
    /// The operator's version number of the new configuration, or 0. If it is set, the base revision is
    /// ignored, and a change whose version is not higher than the version of the current configuration has no
    /// effect.
    std::int64_t version = 0;

    bool operator==(const change&) const = default;
};

/// @brief The outcome of a change.
enum class change_status
{
    accepted,
    /// The base revision of the change is not the current revision.
    conflict,
    /// The new configuration has errors.
    invalid,
    /// The version of the current configuration is not lower than the version of the change.
    superseded,
};

/// @brief The result of a change. A repeated change receives the result of its first application.
struct change_result
{
    change_status status = change_status::invalid;
    /// The revision that the change created if it was accepted, and the current revision otherwise.
    std::int64_t revision = 0;
    /// With `conflict`: the change that created the current revision.
    change_id winner;
    findings found;

    bool operator==(const change_result&) const = default;
};

/// @brief Adds a secret to a complete document or a patch that contains none. Other kinds of changes state no
/// items and stay as they are. The first committed secret remains in force; see configuration::key_secret.
void add_key_secret(change& wanted);

/// @return the change that evacuates an availability zone, or that ends its evacuation
change evacuation_order(change_id id, const std::string& zone, bool evacuated);

NLOHMANN_JSON_SERIALIZE_ENUM(change_kind, {{change_kind::replace, "replace"},
                                           {change_kind::patch, "patch"},
                                           {change_kind::roll_back, "roll_back"},
                                           {change_kind::evacuate, "evacuate"}})
NLOHMANN_JSON_SERIALIZE_ENUM(change_status, {{change_status::invalid, "invalid"},
                                             {change_status::accepted, "accepted"},
                                             {change_status::conflict, "conflict"},
                                             {change_status::superseded, "superseded"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(change, id, base_revision, kind, body, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_result, status, revision, winner, found)

} // namespace flaxtiller
