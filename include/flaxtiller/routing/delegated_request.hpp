#pragma once

#include <flaxtiller/routing/routed_request.hpp>
#include <flaxtiller/routing/router_action.hpp>

namespace flaxtiller
{

/// @brief Makes the request that is sent to the other entry for a delegation.
/// @return the caller's request, with what the other entry needs to run its shards
routed_request delegated_request(const delegate_shards& delegation);

} // namespace flaxtiller
