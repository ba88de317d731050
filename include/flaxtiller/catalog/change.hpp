#pragma once

#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief How a change describes the new configuration.
enum class change_kind
{
    /// The body is a whole document.
    replace,
    /// The body is a patch.
    patch,
    /// The body is `{"revision": n}`: the configuration of that revision becomes a new revision.
    roll_back,
    /// The body is `{"availability_zone": name, "evacuated": true or false}`: from now on backend servers of
    /// the zone get nothing new, or they do again. Whatever the base revision; of two orders for one zone
    /// the one that was committed last counts.
    evacuate,
};

/// @brief A change that an operator asks for. Sent again with the same id it has no second effect.
struct change
{
    change_id id;
    /// The revision that the operator saw; the change is refused if another came in between.
    std::int64_t base_revision = 0;
    change_kind kind = change_kind::replace;
    nlohmann::json body;
    /// The operator's own number of the new configuration, or 0. Where it is given, the highest number wins,
    /// whatever the base revision; a change that isn't higher than what is held has no effect.
    std::int64_t version = 0;

    bool operator==(const change&) const = default;
};

/// @brief What became of a change.
enum class change_status
{
    accepted,
    conflict,
    invalid,
    /// The version held is at least as high as the change's; nothing was changed.
    superseded,
};

/// @brief The answer to a change; the first one, however often the change is sent.
struct change_result
{
    change_status status = change_status::invalid;
    /// The change's own revision if accepted, the present one if not.
    std::int64_t revision = 0;
    /// In a conflict: the change that made the present revision.
    change_id winner;
    findings found;

    bool operator==(const change_result&) const = default;
};

/// @brief Gives a document that declares teams a secret for the digests of their keys, unless it has one.
/// The first that is committed holds; see configuration::key_secret.
void add_key_secret(change& wanted);

/// @return the order to evacuate an availability zone, or to take that back
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
