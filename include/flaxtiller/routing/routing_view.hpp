#pragma once

#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/core/shared_value.hpp>
#include <flaxtiller/registration/warmup_tracker.hpp>
#include <flaxtiller/routing/entry_peer.hpp>
#include <flaxtiller/routing/route_table.hpp>
#include <flaxtiller/teams/team_table.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A snapshot of all that routing decisions depend on: the routes and teams of one configuration
/// revision, the backend servers of its services, and the entry instances.
///
/// Unchanged parts are shared with the previous view, so copies are cheap and a consumer detects unchanged
/// parts without comparing them.
struct routing_view
{
    std::shared_ptr<const placement> placed;
    std::shared_ptr<const route_table> routes;
    std::shared_ptr<const team_table> teams = std::make_shared<const team_table>();
    /// Registered backend servers that are still warming up and have little capacity.
    shared_value<cold_servers> cold;
    /// The number of entry instances that share the backend servers' connections; 0 if unknown.
    int entries = 1;
    /// This instance, its region and availability zone, and the region of each availability zone.
    instance_name self;
    std::string region;
    std::string zone;
    shared_value<std::map<std::string, std::string>> region_of_zone;
    /// The other entries, and those of them that are unreachable.
    shared_value<std::vector<entry_peer>> peers;
    shared_value<std::set<instance_name>> unreachable;
};

} // namespace flaxtiller
