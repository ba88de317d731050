#include <flaxtiller/routing/group_choice.hpp>
#include <flaxtiller/routing/shard_plan.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;

namespace
{

constexpr int slots = 2;

/// Three regions of two availability zones each; the first zone of each region holds a replica of every
/// shard.
class plan_fixture
{
  public:
    plan_fixture(int shards, int entries_per_zone, int connection_limit)
    {
        auto placed = std::make_shared<placement>();
        placed->revision = 1;
        matched_route.name = "all";
        matched_route.host = "h";
        matched_route.path_prefix = "/all/";
        for (int i = 0; i < shards; ++i)
        {
            placed_service item;
            item.definition.name = service_name("s" + std::to_string(i));
            item.shards.resize(1);
            for (const char* zone : {"r1-a", "r2-a", "r3-a"})
            {
                backend_server server;
                server.name = backend_server_name(item.definition.name.str() + zone);
                server.availability_zone = zone;
                server.slots = slots;
                server.connection_limit = connection_limit;
                item.shards[0].push_back(server);
            }
            matched_route.fan_out.push_back(item.definition.name);
            placed->services.emplace(item.definition.name, std::move(item));
        }
        m_view.placed = placed;
        m_view.routes =
            std::make_shared<const route_table>(std::map<std::string, route>{{"all", matched_route}});
        std::map<std::string, std::string> regions;
        for (const char* region : {"r1", "r2", "r3"})
        {
            for (const char* half : {"-a", "-b"})
            {
                const std::string zone = std::string(region) + half;
                regions[zone] = region;
                for (int i = 0; i < entries_per_zone; ++i)
                {
                    all.push_back({instance_name(zone + std::to_string(i)), region, zone, ""});
                }
            }
        }
        m_view.region_of_zone = regions;
        m_view.entries = static_cast<int>(all.size());
    }

    /// @return the view of one of the entries
    routing_view view_of(const std::string& name) const
    {
        routing_view view = m_view;
        std::vector<entry_peer> peers;
        for (const entry_peer& item : all)
        {
            if (item.name.str() == name)
            {
                view.self = item.name;
                view.region = item.region;
                view.zone = item.availability_zone;
            }
            else
            {
                peers.push_back(item);
            }
        }
        view.peers = peers;
        return view;
    }

    route matched_route;
    std::vector<entry_peer> all;

  private:
    routing_view m_view;
};

std::size_t shards_in(const std::vector<shard_plan::group>& groups)
{
    std::size_t count = 0;
    for (const auto& item : groups)
    {
        count += item.shards.size();
    }
    return count;
}

} // namespace

TEST_CASE("an entry runs all shards itself while every entry has enough connections", "[plan]")
{
    const plan_fixture fixture(20, 2, 12 * slots);
    shard_plan plan(fixture.view_of("r1-a0"));
    CHECK(plan.groups_of(fixture.matched_route).empty());
    CHECK_FALSE(plan.is_owned(service_name("s0")));
    CHECK(plan.linked_owners().empty());
}

TEST_CASE("shards have owners if there are too few connections for every entry", "[plan]")
{
    const plan_fixture fixture(90, 15, 66);
    shard_plan plan(fixture.view_of("r1-b0"));
    const std::vector<shard_plan::group> groups = plan.groups_of(fixture.matched_route);

    SECTION("there are as many groups as shards in each, owned by entries in the zone of the replicas")
    {
        CHECK(groups.size() == 10);
        CHECK(shards_in(groups) == 90);
        for (const auto& item : groups)
        {
            CHECK(item.shards.size() == 9);
            REQUIRE(item.runner_candidates.size() == shard_plan::max_owners);
            CHECK_FALSE(item.is_round_robin);
            for (const instance_name& runner : item.runner_candidates)
            {
                CHECK(runner.str().rfind("r1-a", 0) == 0);
            }
        }
    }
    SECTION("all entries of a region, owners included, have the same plan")
    {
        for (const char* other : {"r1-a0", "r1-a7", "r1-b3"})
        {
            shard_plan same(fixture.view_of(other));
            CHECK(same.groups_of(fixture.matched_route) == groups);
        }
    }
    SECTION("no entry owns two groups if there are enough entries")
    {
        std::set<instance_name> owners;
        for (const auto& item : groups)
        {
            CHECK(owners.insert(item.runner_candidates.front()).second);
        }
    }
    SECTION("another region has its own owners")
    {
        shard_plan far(fixture.view_of("r2-b0"));
        for (const auto& item : far.groups_of(fixture.matched_route))
        {
            CHECK(item.runner_candidates.front().str().rfind("r2-a", 0) == 0);
        }
    }
    SECTION("the first two owners of each group count themselves as owners")
    {
        for (const auto& item : groups)
        {
            const service_name service = fixture.matched_route.fan_out[item.shards.front()];
            CHECK(shard_plan(fixture.view_of(item.runner_candidates[0].str())).owns(service));
            CHECK(shard_plan(fixture.view_of(item.runner_candidates[1].str())).owns(service));
        }
        CHECK_FALSE(plan.owns(service_name("s0")));
    }
    SECTION("removing an entry reassigns few groups")
    {
        routing_view less = fixture.view_of("r1-b0");
        const instance_name gone = groups[0].runner_candidates[0];
        std::vector<entry_peer> peers = *less.peers;
        std::erase_if(peers,
                      [&](const entry_peer& item)
                      {
                          return item.name == gone;
                      });
        less.peers = peers;
        shard_plan next(less);
        std::size_t moved = 0;
        for (std::size_t i = 0; i < groups.size(); ++i)
        {
            moved += next.groups_of(fixture.matched_route)[i].runner_candidates[0] !=
                             groups[i].runner_candidates[0]
                         ? 1
                         : 0;
        }
        CHECK(moved >= 1);
        CHECK(moved <= 4);
    }
    SECTION("shards whose near replicas are leaving go to another region's entries")
    {
        routing_view view = fixture.view_of("r1-b0");
        auto placed = std::make_shared<placement>(*view.placed);
        for (const char* service : {"s3", "s4", "s5"})
        {
            auto& shared = placed->services.at(service_name(service));
            placed_service changed = *shared;
            changed.shards[0][0].leaving = true;
            shared = changed;
        }
        view.placed = placed;
        shard_plan next(view);
        const auto& changed = next.groups_of(fixture.matched_route);
        CHECK(shards_in(changed) == 90);
        const auto far = std::find_if(changed.begin(), changed.end(),
                                      [](const shard_plan::group& item)
                                      {
                                          return item.runner_candidates.front().str().rfind("r1", 0) != 0;
                                      });
        REQUIRE(far != changed.end());
        CHECK(far->shards == std::vector<std::size_t>{3, 4, 5});
        CHECK(shard_plan(view).owners_of(service_name("s3")) > 0);
        CHECK(next.linked_owners().count(far->runner_candidates.front()) == 1);
    }
}

TEST_CASE("a group is delegated to its first available owner", "[plan]")
{
    const plan_fixture fixture(90, 15, 66);
    routing_view view = fixture.view_of("r1-b0");
    group_choice choice;
    choice.configure(view);
    const time_point now{duration::from_ms(1000)};
    const auto first = choice.groups_of(fixture.matched_route, now).at(0);

    SECTION("an owner that failed is skipped during its back-off")
    {
        choice.failed(first.peer, now);
        CHECK(choice.groups_of(fixture.matched_route, now).at(0).peer != first.peer);
        CHECK(choice.groups_of(fixture.matched_route, now + group_choice::backoff).at(0).peer == first.peer);
    }
    SECTION("an unreachable owner is skipped")
    {
        view.unreachable = std::set<instance_name>{first.peer};
        choice.configure(view);
        CHECK(choice.groups_of(fixture.matched_route, now).at(0).peer != first.peer);
    }
    SECTION("another owner follows one that failed")
    {
        const auto next = choice.next_runner(fixture.matched_route, first.shards.front(), first.peer, now);
        REQUIRE(next);
        CHECK(*next != first.peer);
        CHECK(next->str().rfind("r1-a", 0) == 0);
    }
    SECTION("an owner runs its own group")
    {
        choice.configure(fixture.view_of(first.peer.str()));
        const auto groups = choice.groups_of(fixture.matched_route, now);
        CHECK(groups.size() == 9);
    }
}

TEST_CASE("a list of shards is planned again only after relevant changes", "[plan]")
{
    for (const int entries_per_zone : {5, 50})
    {
        const plan_fixture fixture(90, entries_per_zone, 2 * slots);
        routing_view view = fixture.view_of("r1-b0");
        shard_plan plan(view);
        const std::vector<shard_plan::group> groups = plan.groups_of(fixture.matched_route);
        REQUIRE(plan.lists_planned() == 1);
        const auto change_first = [&](auto edit)
        {
            auto placed = std::make_shared<placement>(*view.placed);
            auto& shared = placed->services.at(service_name("s3"));
            placed_service changed = *shared;
            edit(changed.shards[0]);
            shared = changed;
            view.placed = placed;
            plan.update(view);
        };

        // The same view again, an unreachable entry, and a second replica in the same zone change nothing.
        plan.update(view);
        view.unreachable = std::set<instance_name>{groups[0].runner_candidates[0]};
        plan.update(view);
        change_first(
            [](std::vector<backend_server>& replicas)
            {
                replicas.push_back(replicas[0]);
                replicas.back().name = backend_server_name("another");
            });
        CHECK(plan.lists_planned() == 1);
        CHECK(plan.groups_of(fixture.matched_route) == groups);

        // The zone loses its only replica.
        change_first(
            [](std::vector<backend_server>& replicas)
            {
                replicas.erase(replicas.begin());
                replicas.back().leaving = true;
            });
        CHECK(plan.lists_planned() == 2);
        CHECK(shard_plan(view).groups_of(fixture.matched_route) == plan.groups_of(fixture.matched_route));

        // An entry is removed: the updated plan equals a plan made from scratch.
        std::vector<entry_peer> peers = *view.peers;
        peers.pop_back();
        view.peers = peers;
        plan.update(view);
        CHECK(plan.lists_planned() == 3);
        CHECK(shard_plan(view).groups_of(fixture.matched_route) == plan.groups_of(fixture.matched_route));
        for (const service_name& service : fixture.matched_route.fan_out)
        {
            CHECK(shard_plan(view).owners_of(service) == plan.owners_of(service));
        }
    }
}

TEST_CASE("routes with the same list of shards share a plan", "[plan]")
{
    const plan_fixture fixture(90, 5, 2 * slots);
    routing_view view = fixture.view_of("r1-b0");
    std::map<std::string, route> routes;
    for (int i = 0; i < 20; ++i)
    {
        route item = fixture.matched_route;
        item.name = "route-" + std::to_string(i);
        item.path_prefix = "/" + item.name + "/";
        routes.emplace(item.name, item);
    }
    view.routes = std::make_shared<const route_table>(routes);
    shard_plan plan(view);
    CHECK(plan.lists_planned() == 1);
    std::vector<entry_peer> peers = *view.peers;
    peers.pop_back();
    view.peers = peers;
    plan.update(view);
    CHECK(plan.lists_planned() == 2);
}
