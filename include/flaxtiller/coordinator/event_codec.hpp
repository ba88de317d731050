#pragma once

#include <flaxtiller/coordinator/event.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @return the event as a JSON object for a trace
nlohmann::json event_to_json(const coordinator_event& new_event);

/// @brief Parses an event of a trace.
/// @throw nlohmann::json::exception if it is malformed
coordinator_event event_from_json(const nlohmann::json& j);

} // namespace flaxtiller
