#pragma once

#include "shell/http_server.hpp"

#include <optional>
#include <string>

namespace flaxtiller::command
{

/// @brief Sends a request to the control replica that leads, trying all that --control names.
///
/// Asks again, until the time is up, while nobody answers or nobody leads. A change may thus be sent several
/// times; its id makes that harmless.
/// @return the leader's reply, or nothing
std::optional<shell::http_reply> call_leader(const shell::http_request& request);

} // namespace flaxtiller::command
