#pragma once

#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/routed_request.hpp>

#include <nlohmann/json_fwd.hpp>

namespace flaxtiller
{

// What entries say to one another of routed requests. Texts may hold any bytes: the form is CBOR.

void to_json(nlohmann::json& j, const entry_peer& value);
void from_json(const nlohmann::json& j, entry_peer& value);

void to_json(nlohmann::json& j, const routed_request& value);
void from_json(const nlohmann::json& j, routed_request& value);

/// @brief An answer that one backend server gave isn't carried: only fan-outs travel between entries.
void to_json(nlohmann::json& j, const routed_outcome& value);
void from_json(const nlohmann::json& j, routed_outcome& value);

} // namespace flaxtiller
