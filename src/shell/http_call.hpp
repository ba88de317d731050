#pragma once

#include "address.hpp"
#include "http_server.hpp"

#include <optional>
#include <string>

namespace flaxtiller::shell
{

/// @brief Sends one request and waits for the reply; for command lines and slow polls, not for a request's
/// path.
/// @return nothing if the peer can't be reached or doesn't answer in time
std::optional<http_reply> http_call(const address& at, const http_request& request, int timeout_ms);

} // namespace flaxtiller::shell
