#pragma once

#include <flaxtiller/core/identifier.hpp>

namespace flaxtiller
{

/// @brief A service that receives a share of a route's requests.
struct weighted_service
{
    service_name service;
    /// The service's share is this weight divided by the sum of the route's weights.
    int weight = 1;

    bool operator==(const weighted_service&) const = default;
};

} // namespace flaxtiller
