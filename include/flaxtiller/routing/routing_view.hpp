#pragma once

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/routing/route_table.hpp>

#include <memory>

namespace flaxtiller
{

/// @brief What routed requests are decided by: one revision's routes, and where its services run.
struct routing_view
{
    std::shared_ptr<const placement> placed;
    std::shared_ptr<const route_table> routes;
    /// Entry instances that share the backend servers' connections; at least 1.
    int entries = 1;
};

} // namespace flaxtiller
