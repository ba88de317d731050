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

/// @brief What routed requests are decided by: one revision's routes, and where its services run.
///
/// Parts that didn't change are shared with the view before, so that copies cost little and a reader sees at
/// once what it needn't look at again.
struct routing_view
{
    std::shared_ptr<const placement> placed;
    std::shared_ptr<const route_table> routes;
    std::shared_ptr<const team_table> teams = std::make_shared<const team_table>();
    /// Registered backend servers that bear little for now.
    shared_value<cold_servers> cold;
    /// Entry instances that share the backend servers' connections; 0 while that isn't known.
    int entries = 1;
    /// This instance, where it stands, and where the availability zones are.
    instance_name self;
    std::string region;
    std::string zone;
    shared_value<std::map<std::string, std::string>> region_of_zone;
    /// Other entries, and those of them that can't be reached now.
    shared_value<std::vector<entry_peer>> peers;
    shared_value<std::set<instance_name>> unreachable;
};

} // namespace flaxtiller
