#include "distribution_model.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::bench;
using flaxtiller::distribution::relay_tree;

TEST_CASE("each region has one relay tree of bounded depth", "[distribution][relay]")
{
    std::map<instance_name, instance> instances;
    for (int i = 0; i < 200; ++i)
    {
        instance item;
        item.name = instance_name("e" + std::to_string(i));
        item.region = i % 2 == 0 ? "north" : "south";
        instances.emplace(item.name, item);
    }
    const relay_tree tree(instances, 4);
    std::size_t roots = 0;
    for (const auto& [name, item] : instances)
    {
        const auto above = tree.ancestors(name);
        roots += above.empty() ? 1 : 0;
        CHECK(above.size() <= 4);
        for (const instance_name& ancestor : above)
        {
            CHECK(instances.at(ancestor).region == item.region);
        }
    }
    CHECK(roots == 2);
}

TEST_CASE("a revision reaches hundreds of instances", "[distribution][relay]")
{
    // The simulation counts messages in virtual time, so that its results are the same on every computer.
    distribution_model model(300, 3, 50, relay_tree::default_fan_out);

    SECTION("within a time limit, at a bounded cost for each node")
    {
        const auto found = model.change();
        CHECK(found.in_force == 300);
        CHECK(found.max_ms <= 100);
        // A relay sends one update to each follower, and its own reports; their number does not grow with the
        // number of nodes.
        CHECK(found.most_messages <= relay_tree::default_fan_out + 14);
        distribution_model larger(900, 3, 50, relay_tree::default_fan_out);
        const auto more = larger.change();
        CHECK(more.in_force == 900);
        CHECK(more.most_messages <= relay_tree::default_fan_out + 14);
        CHECK(more.most_bytes <= found.most_bytes * 11 / 10);
    }

    SECTION("even if a relay has failed")
    {
        const instance_name relay = model.a_relay();
        REQUIRE_FALSE(relay.empty());
        model.kill(relay);
        const auto found = model.change();
        CHECK(found.in_force == 299);
        CHECK(found.max_ms <= 3000);
    }
}
