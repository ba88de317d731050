#pragma once

#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/routed_outcome.hpp>
#include <flaxtiller/routing/routed_request.hpp>

#include <nlohmann/json_fwd.hpp>

namespace flaxtiller
{

// The representation of delegated requests and of their outcomes in messages between entries. Strings may
// hold arbitrary bytes, so the messages are encoded as CBOR.

void to_json(nlohmann::json& j, const entry_peer& value);
void from_json(const nlohmann::json& j, entry_peer& value);

void to_json(nlohmann::json& j, const routed_request& value);
void from_json(const nlohmann::json& j, routed_request& value);

/// @brief Converts an outcome without @ref routed_outcome::answer, since only fan-outs are delegated.
void to_json(nlohmann::json& j, const routed_outcome& value);
void from_json(const nlohmann::json& j, routed_outcome& value);

} // namespace flaxtiller
