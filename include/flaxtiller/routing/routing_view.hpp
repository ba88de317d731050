#pragma once

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/route_table.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief What routed requests are decided by: one revision's routes, and where its services run.
struct routing_view
{
    std::shared_ptr<const placement> placed;
    std::shared_ptr<const route_table> routes;
    /// Entry instances that share the backend servers' connections; 0 while that isn't known.
    int entries = 1;
    /// This instance, where it stands, and where the availability zones are.
    instance_name self;
    std::string region;
    std::string zone;
    std::map<std::string, std::string> region_of_zone;
    /// Other entries, and those of them that can't be reached now.
    std::vector<entry_peer> peers;
    std::set<instance_name> unreachable;
};

} // namespace flaxtiller
