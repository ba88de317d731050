#pragma once

#include <flaxtiller/routing/routing_view.hpp>

#include <map>
#include <memory>
#include <string>

namespace flaxtiller::test
{

inline time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

/// @return a view with these teams and one route, `all`, for every path of the host `h`
inline routing_view view_of_teams(const shared_map<team_name, team>& teams, const std::string& secret,
                                  int entries)
{
    route all;
    all.name = "all";
    all.host = "h";
    all.path_prefix = "/";
    all.targets = {{service_name("s"), 1}};
    routing_view view;
    view.entries = entries;
    view.placed = std::make_shared<const placement>();
    view.routes = std::make_shared<const route_table>(std::map<std::string, route>{{all.name, all}});
    view.teams = std::make_shared<const team_table>(teams, secret);
    return view;
}

} // namespace flaxtiller::test
