#include "process/settings.hpp"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

bool has_finding_at(const findings& found, const std::string& place)
{
    return std::any_of(found.items().begin(), found.items().end(),
                       [&](const finding& item)
                       {
                           return item.place.find(place) != std::string::npos;
                       });
}

} // namespace

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
        return has_finding_at(found, place);
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
    CHECK(has_finding_at(found, "/routing/load/balance_owners"));
    CHECK(has_finding_at(found, "/routing/load/unknown"));
    CHECK_FALSE(has_finding_at(found, "/routing/load/order_by_priority"));
}

// Guards against link timeouts that exceed what a deployment's bounds leave.
TEST_CASE("a silent link is found within half of the shortest bound", "[settings]")
{
    findings found;
    const std::string bounds =
        R"("bounds": {"contact_ms": 4000, "apply_ms": 3000, "drain_ms": 3200, "acknowledge_ms": 5000})";

    SECTION("the times of links follow from the bounds")
    {
        const auto entry = parse_entry_settings("{" + bounds + "}", "entry.json", found);
        CHECK(entry.bounds.shortest() == duration::from_ms(3000));
        CHECK(entry.links ==
              link_timing{duration::from_ms(500), duration::from_ms(1500), duration::from_ms(1500)});
        findings found_in_control;
        const auto control = parse_control_settings("{" + bounds + "}", "control.json", found_in_control);
        CHECK(control.links == entry.links);
        CHECK_FALSE(has_finding_at(found, "/links"));
        CHECK_FALSE(has_finding_at(found, "/bounds"));
    }
    SECTION("times that leave too little of the bounds are refused")
    {
        (void)parse_entry_settings("{" + bounds + R"(, "links": {"redial_ms": 1501}})", "entry.json", found);
        CHECK(has_finding_at(found, "/links"));
    }
    SECTION("an interval of reports that leaves too little of the bound is refused")
    {
        (void)parse_entry_settings("{" + bounds + R"(, "report_every_ms": 1001})", "entry.json", found);
        CHECK(has_finding_at(found, "/report_every_ms"));
    }
    SECTION("without bounds the times are the defaults")
    {
        const auto entry = parse_entry_settings("{}", "entry.json", found);
        CHECK(entry.links == link_timing{});
        CHECK(entry.bounds.shortest() == duration{});
    }
    SECTION("links between replicas are replaced before the leader loses its role")
    {
        quorum::timing elections;
        elections.heartbeat = duration::from_ms(300);
        elections.election_min = duration::from_ms(1000);
        const auto entry = parse_entry_settings("{" + bounds + "}", "entry.json", found);
        CHECK(link_timing_between_replicas(entry.links, elections) ==
              link_timing{duration::from_ms(300), duration::from_ms(1000), duration::from_ms(1000)});
    }
}

// Guards against a lost replica that outlasts the time in which it must be replaced.
TEST_CASE("a voter counts as lost within half of the catch-up time", "[settings]")
{
    const auto lost_after = [](const std::string& membership)
    {
        findings found;
        const std::string timing = R"("timing": {"heartbeat_ms": 300, "election_max_ms": 1700})";
        const auto control =
            parse_control_settings(R"({"membership": {"link_port": 7395, "seeds": ["127.0.0.1:8106"])" +
                                       membership + "}, " + timing + "}",
                                   "control.json", found);
        return control.keeper.lost_after;
    };
    CHECK(lost_after("") == duration::from_ms(3000));
    CHECK(lost_after(R"(, "catch_up_ms": 6000)") == duration::from_ms(3000));
    CHECK(lost_after(R"(, "catch_up_ms": 4400)") == duration::from_ms(2200));
    CHECK(lost_after(R"(, "catch_up_ms": 1000)") == duration::from_ms(2000));
    CHECK(lost_after(R"(, "catch_up_ms": 4400, "lost_after_ms": 2900)") == duration::from_ms(2900));
}

TEST_CASE("the tolerated losses of the control replicas", "[settings]")
{
    findings found;
    const auto control = parse_control_settings(
        R"({"membership": {"tolerated_losses": {"replicas": 2, "availability_zones": 1, "regions": 1}}})",
        "control.json", found);
    CHECK(control.keeper.tolerated == quorum::tolerated_losses{2, 1, 1});
    CHECK_FALSE(has_finding_at(found, "/membership/tolerated_losses"));
    findings refused;
    (void)parse_control_settings(R"({"membership": {"tolerated_losses": {"replicas": -1}}})", "control.json",
                                 refused);
    CHECK(has_finding_at(refused, "/membership/tolerated_losses/replicas"));
}
