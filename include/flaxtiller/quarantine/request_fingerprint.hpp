#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/routing/routed_request.hpp>

namespace flaxtiller
{

/// @brief What two requests share that ask the same: team, method, host, path, query and body, as a digest
/// (BLAKE2b, in hexadecimal). Ids, deadlines and the entry that was asked don't matter, nor does a key.
using request_fingerprint = identifier<struct request_fingerprint_tag>;

/// @complexity O(bytes of the request)
request_fingerprint fingerprint_of(const routed_request& request);

} // namespace flaxtiller
