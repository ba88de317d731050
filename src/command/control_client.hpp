#pragma once

#include "http/http_server.hpp"

#include <optional>
#include <string>

namespace flaxtiller::command
{

/// @brief Sends a request to the leader of the control replicas.
///
/// Sends the request to the addresses of --control in turn until the leader replies, and repeats the round
/// until --timeout_ms has passed. The leader may therefore receive a change several times; a change is
/// applied once per id, so a repetition has no further effect.
/// @return the leader's reply; if it didn't reply in time, the last reply of any replica, or nothing
std::optional<shell::http_reply> call_leader(const shell::http_request& request);

} // namespace flaxtiller::command
