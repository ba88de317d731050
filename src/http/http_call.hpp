#pragma once

#include "address.hpp"
#include "http_server.hpp"

#include <optional>
#include <string>

namespace flaxtiller::shell
{

/// @brief Sends a request over a new connection and blocks until the reply arrives. Use it in command-line
/// tools and for infrequent polls, not while a query is served.
/// @return the reply, or nothing if the peer is unreachable, sends bytes that aren't a reply, or doesn't
/// reply within @a timeout_ms
std::optional<http_reply> http_call(const address& at, const http_request& request, int timeout_ms);

} // namespace flaxtiller::shell
