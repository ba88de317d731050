// The relative latency of a route's parts, compared with all parts of the same list of shards.

#include <flaxtiller/routing/route_latencies.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

TEST_CASE("relative latencies of routes", "[routing]")
{
    route_latencies latencies;
    const auto note = [&](const std::string& route, std::uint64_t list, double ms, std::size_t times)
    {
        for (std::size_t i = 0; i < times; ++i)
        {
            latencies.note(route, list, duration::from_ms(ms));
        }
    };

    SECTION("are 1 until there are enough samples")
    {
        note("small", 1, 5.0, route_latencies::min_samples - 1);
        note("large", 1, 20.0, route_latencies::min_samples - 1);
        CHECK(latencies.relative_latency("small", 1) == 1.0);
        CHECK(latencies.relative_latency("unknown", 1) == 1.0);
    }
    SECTION("distinguish cheap and expensive routes, separately for each list")
    {
        for (int i = 0; i < 500; ++i)
        {
            note("small", 1, 5.0, 1);
            note("large", 1, 20.0, 3);
            note("small", 2, 7.0, 1);
        }
        CHECK(latencies.relative_latency("large", 1) / latencies.relative_latency("small", 1) ==
              Approx(4.0).epsilon(0.02));
        CHECK(latencies.relative_latency("small", 1) < 0.5);
        CHECK(latencies.relative_latency("large", 1) > 1.0);
        CHECK(latencies.relative_latency("small", 2) == Approx(1.0));
    }
    SECTION("are not changed much by a few stragglers")
    {
        for (int i = 0; i < 500; ++i)
        {
            note("small", 1, i % 25 == 0 ? 250.0 : 5.0, 1);
            note("large", 1, i % 25 == 0 ? 250.0 : 20.0, 3);
        }
        CHECK(latencies.relative_latency("large", 1) / latencies.relative_latency("small", 1) ==
              Approx(4.0).epsilon(0.15));
    }
    SECTION("adapt to changed latencies")
    {
        note("a", 1, 5.0, 500);
        note("b", 1, 20.0, 500);
        note("a", 1, 40.0, 2000);
        note("b", 1, 20.0, 2000);
        CHECK(latencies.relative_latency("a", 1) > latencies.relative_latency("b", 1));
    }
    SECTION("are limited in value and number")
    {
        note("a", 1, 0.0, 100);
        note("b", 1, 100000.0, 100);
        CHECK(latencies.relative_latency("a", 1) >= 1.0 / route_latencies::max_factor);
        CHECK(latencies.relative_latency("b", 1) <= route_latencies::max_factor);
        for (std::size_t i = 0; i < 3 * route_latencies::max_tracked_routes; ++i)
        {
            note("route-" + std::to_string(i), i, 5.0, 1);
        }
        CHECK(latencies.tracked_routes() <= route_latencies::max_tracked_routes);
    }
}
