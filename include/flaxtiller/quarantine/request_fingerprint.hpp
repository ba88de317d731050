#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/routing/routed_request.hpp>

namespace flaxtiller
{

/// @brief Identifies equal requests: a BLAKE2b digest, in hexadecimal, of team, method, host, path, query and
/// body. Request id, deadline, header fields, API key and the receiving entry have no influence.
using request_fingerprint = identifier<struct request_fingerprint_tag>;

/// @return the fingerprint of a request
/// @complexity O(bytes of the request)
request_fingerprint fingerprint_of(const routed_request& request);

} // namespace flaxtiller
