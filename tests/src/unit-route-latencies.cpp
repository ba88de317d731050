// How long a route's parts take, relative to the list of shards that it shares with others.

#include <flaxtiller/routing/route_latencies.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

TEST_CASE("sizes of routes", "[routing]")
{
    route_latencies sizes;
    const auto note = [&](const std::string& route, std::uint64_t list, double ms, std::size_t times)
    {
        for (std::size_t i = 0; i < times; ++i)
        {
            sizes.note(route, list, duration::from_ms(ms));
        }
    };

    SECTION("are those of the list until enough was seen")
    {
        note("small", 1, 5.0, route_latencies::min_samples - 1);
        note("large", 1, 20.0, route_latencies::min_samples - 1);
        CHECK(sizes.relative_latency("small", 1) == 1.0);
        CHECK(sizes.relative_latency("unknown", 1) == 1.0);
    }
    SECTION("tell small from large, and each list by itself")
    {
        for (int i = 0; i < 500; ++i)
        {
            note("small", 1, 5.0, 1);
            note("large", 1, 20.0, 3);
            note("small", 2, 7.0, 1);
        }
        CHECK(sizes.relative_latency("large", 1) / sizes.relative_latency("small", 1) ==
              Approx(4.0).epsilon(0.02));
        CHECK(sizes.relative_latency("small", 1) < 0.5);
        CHECK(sizes.relative_latency("large", 1) > 1.0);
        CHECK(sizes.relative_latency("small", 2) == Approx(1.0));
    }
    SECTION("don't follow a few stragglers")
    {
        for (int i = 0; i < 500; ++i)
        {
            note("small", 1, i % 25 == 0 ? 250.0 : 5.0, 1);
            note("large", 1, i % 25 == 0 ? 250.0 : 20.0, 3);
        }
        CHECK(sizes.relative_latency("large", 1) / sizes.relative_latency("small", 1) ==
              Approx(4.0).epsilon(0.15));
    }
    SECTION("follow a change")
    {
        note("a", 1, 5.0, 500);
        note("b", 1, 20.0, 500);
        note("a", 1, 40.0, 2000);
        note("b", 1, 20.0, 2000);
        CHECK(sizes.relative_latency("a", 1) > sizes.relative_latency("b", 1));
    }
    SECTION("stay within bounds")
    {
        note("a", 1, 0.0, 100);
        note("b", 1, 100000.0, 100);
        CHECK(sizes.relative_latency("a", 1) >= 1.0 / route_latencies::max_factor);
        CHECK(sizes.relative_latency("b", 1) <= route_latencies::max_factor);
        for (std::size_t i = 0; i < 3 * route_latencies::max_tracked_routes; ++i)
        {
            note("route-" + std::to_string(i), i, 5.0, 1);
        }
        CHECK(sizes.tracked_routes() <= route_latencies::max_tracked_routes);
    }
}
