#pragma once

#include "http_exchange.hpp"

#include <string>

namespace flaxtiller::shell
{

/// @return the request as an HTTP/1.1 message
/// @complexity one allocation for most requests
std::string serialize_request(const http_exchange& request);

} // namespace flaxtiller::shell
