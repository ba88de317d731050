#pragma once

#include <flaxtiller/routing/routing_view.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// A fan-out whose replicas are all in the zone "a" of the only region, with too few connections for all
/// entries. The entries of that zone, a0, a1 and so on, own the shards; those of the zone "b" do not.
class owned_fan_out
{
  public:
    owned_fan_out(int shards, int owners, int others)
    {
        matched_route.name = "all";
        matched_route.host = "h";
        matched_route.path_prefix = "/all/";
        matched_route.timeout = duration::from_ms(800);
        matched_route.objective = duration::from_ms(120);
        matched_route.least_share = 0.95;
        matched_route.top_records = 2;
        auto placed = std::make_shared<placement>();
        placed->revision = 1;
        for (int i = 0; i < shards; ++i)
        {
            placed_service item;
            item.definition.name = service_name("s" + std::to_string(i));
            backend_server server;
            server.name = backend_server_name("s" + std::to_string(i) + "-0");
            server.availability_zone = "a";
            server.slots = 2;
            server.connection_limit = 2;
            item.shards = {{server}};
            matched_route.fan_out.push_back(item.definition.name);
            placed->services.emplace(item.definition.name, std::move(item));
        }
        m_view.placed = placed;
        m_view.routes =
            std::make_shared<const route_table>(std::map<std::string, route>{{"all", matched_route}});
        m_view.region = "r";
        m_view.region_of_zone = std::map<std::string, std::string>{{"a", "r"}, {"b", "r"}};
        m_view.entries = owners + others;
        for (int i = 0; i < owners + others; ++i)
        {
            const std::string zone = i < owners ? "a" : "b";
            m_all.push_back(
                {instance_name(zone + std::to_string(i < owners ? i : i - owners)), "r", zone, ""});
        }
    }

    /// @return the view of an entry
    /// @param missing an entry that is not in the view; empty for none
    routing_view view_of(const std::string& name, const std::string& missing = "") const
    {
        routing_view view = m_view;
        std::vector<entry_peer> peers;
        for (const entry_peer& item : m_all)
        {
            if (item.name.str() == name)
            {
                view.self = item.name;
                view.zone = item.availability_zone;
            }
            else if (item.name.str() != missing)
            {
                peers.push_back(item);
            }
        }
        view.peers = peers;
        return view;
    }

    route matched_route;

  private:
    routing_view m_view;
    std::vector<entry_peer> m_all;
};

} // namespace flaxtiller::test
