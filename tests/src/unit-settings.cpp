#include "process/settings.hpp"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;
using namespace flaxtiller::shell;

TEST_CASE("availability zones in an entry's settings", "[settings]")
{
    const auto finding_at = [](int zones, const std::string& place)
    {
        nlohmann::json document;
        for (int i = 0; i < zones; ++i)
        {
            document["availability_zones"]["zone-" + std::to_string(i)] = "region";
        }
        findings found;
        (void)parse_entry_settings(document.dump(), "entry.json", found);
        return std::any_of(found.items().begin(), found.items().end(),
                           [&](const finding& item)
                           {
                               return item.place.find(place) != std::string::npos;
                           });
    };
    CHECK_FALSE(finding_at(64, "availability_zones"));
    // Replicas in a zone that no plan knows would never be asked.
    CHECK(finding_at(65, "availability_zones"));
}

TEST_CASE("the decisions under load are switched on one by one", "[settings]")
{
    findings found;
    const auto settings = parse_entry_settings(
        R"({"routing": {"load": {"order_by_priority": true, "balance_owners": 1, "unknown": true}}})",
        "entry.json", found);
    CHECK(settings.routing.load.orders_by_priority);
    CHECK_FALSE(settings.routing.load.limits_admission);
    const auto has_finding_at = [&](const std::string& place)
    {
        return std::any_of(found.items().begin(), found.items().end(),
                           [&](const finding& item)
                           {
                               return item.place.find(place) != std::string::npos;
                           });
    };
    CHECK(has_finding_at("/routing/load/balance_owners"));
    CHECK(has_finding_at("/routing/load/unknown"));
    CHECK_FALSE(has_finding_at("/routing/load/order_by_priority"));
}
