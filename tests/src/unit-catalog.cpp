#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/catalog/diff.hpp>
#include <flaxtiller/catalog/placement.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

nlohmann::json document()
{
    return nlohmann::json::parse(R"({
        "services": [{"name": "dispatch", "labels": {"kind": "depot"}, "shards": 2}],
        "backend_servers": [
            {"name": "b0", "address": "127.0.0.1:9000", "labels": {"serves": "dispatch", "shard": "0"}},
            {"name": "b1", "address": "127.0.0.1:9001", "labels": {"serves": "dispatch", "shard": "1"}}],
        "placement_rules": [
            {"name": "all", "services": {"kind": "depot"}, "backend_servers": {"serves": "dispatch"}}]})");
}

change replacement(const std::string& id, std::int64_t base, const nlohmann::json& body)
{
    return {change_id(id), base, change_kind::replace, body};
}

} // namespace

TEST_CASE("configuration documents are read, checked and patched", "[catalog]")
{
    findings found;

    SECTION("a valid document has no findings, and its rules assign the shards")
    {
        const configuration parsed = parse_configuration(document(), found);
        CHECK(found.items().empty());
        CHECK(validate(parsed).items().empty());
        const placement placed = place(1, parsed);
        const auto& shards = placed.services.at(service_name("dispatch"))->shards;
        REQUIRE(shards.size() == 2);
        CHECK(shards[0].at(0).name.str() == "b0");
        CHECK(shards[1].at(0).name.str() == "b1");
    }

    SECTION("every error in a document is reported with its location")
    {
        auto broken = document();
        broken["services"][0]["shard"] = 3;
        broken["backend_servers"][0]["address"] = "nowhere";
        broken["backend_servers"][1]["name"] = "b0";
        broken["backend_servers"][1]["slots"] = 0;
        broken["surplus"] = true;
        (void)parse_configuration(broken, found);
        std::vector<std::string> places;
        for (const finding& item : found.items())
        {
            places.push_back(item.place);
        }
        CHECK(places == std::vector<std::string>{"/services/0/shard", "/backend_servers/0/address",
                                                 "/backend_servers/1/slots", "/backend_servers/1/name",
                                                 "/surplus"});
    }

    SECTION("selectors without a match and shards without a backend server are warnings")
    {
        auto sparse = document();
        sparse["services"][0]["shards"] = 3;
        sparse["placement_rules"].push_back({{"name", "idle"}, {"backend_servers", {{"serves", "nothing"}}}});
        const findings checked = validate(parse_configuration(sparse, found));
        CHECK_FALSE(checked.has_errors());
        REQUIRE(checked.items().size() == 2);
        CHECK(checked.items()[0].code == errc::selector_matches_nothing);
        CHECK(checked.items()[1].code == errc::shard_without_backend_server);
    }

    SECTION("a patch changes only the items that it names")
    {
        const configuration base = parse_configuration(document(), found);
        const auto patch = nlohmann::json::parse(
            R"({"remove": {"backend_servers": ["b1"]},
                "upsert": {"services": [{"name": "dispatch", "shards": 1, "labels": {"kind": "depot"}}]}})");
        const configuration patched = apply_patch(base, patch, found);
        CHECK(found.items().empty());
        CHECK(patched.backend_servers.size() == 1);
        CHECK(patched.services.at(service_name("dispatch")).shards == 1);
        CHECK(patched.placement_rules == base.placement_rules);
    }
}

TEST_CASE("changes", "[catalog]")
{
    catalog_state state;
    const change first = replacement("c1", 0, document());
    REQUIRE(state.apply(first).status == change_status::accepted);

    SECTION("a repeated change receives its first result and has no second effect")
    {
        REQUIRE(state.apply(replacement("c2", 1, nlohmann::json::object())).revision == 2);
        const change_result again = state.apply(first);
        CHECK(again.status == change_status::accepted);
        CHECK(again.revision == 1);
        CHECK(state.revision() == 2);
        CHECK(state.current().services.empty());
    }

    SECTION("a repeated change receives its first result after the restoration of a snapshot")
    {
        catalog_state restored = catalog_state::deserialize(state.serialize());
        CHECK(restored == state);
        CHECK(restored.apply(first).revision == 1);
        CHECK(restored.revision() == 1);
    }

    SECTION("the second of two changes with the same base is refused with the id of the first")
    {
        CHECK(state.apply(replacement("ann", 1, document())).status == change_status::accepted);
        const change_result conflicting = state.apply(replacement("bob", 1, document()));
        CHECK(conflicting.status == change_status::conflict);
        CHECK(conflicting.winner.str() == "ann");
        CHECK(conflicting.revision == 2);
    }

    SECTION("an invalid change has no effect")
    {
        const change_result refused = state.apply(replacement("bad", 1, {{"services", 7}}));
        CHECK(refused.status == change_status::invalid);
        CHECK(refused.found.has_errors());
        CHECK(state.revision() == 1);
    }

    SECTION("a roll-back creates a new revision")
    {
        REQUIRE(state.apply(replacement("empty", 1, nlohmann::json::object())).revision == 2);
        const change roll_back_change{change_id("back"), 2, change_kind::roll_back, {{"revision", 1}}};
        CHECK(state.apply(roll_back_change).revision == 3);
        CHECK(state.current().services.size() == 1);
    }
}

TEST_CASE("availability zones can be evacuated", "[catalog]")
{
    catalog_state state;
    nlohmann::json body = document();
    body["backend_servers"][0]["availability_zone"] = "a";
    body["backend_servers"][1]["availability_zone"] = "b";
    REQUIRE(state.apply(replacement("c1", 0, body)).revision == 1);
    const auto order = [&](const std::string& id, const std::string& zone, bool evacuated)
    {
        return state.apply(evacuation_order(change_id(id), zone, evacuated));
    };
    const auto leaving = [&]
    {
        std::set<std::string> names;
        const placement placed = place(0, state.current());
        for (const auto& replicas : placed.services.at(service_name("dispatch"))->shards)
        {
            for (const backend_server& server : replicas)
            {
                if (server.leaving)
                {
                    names.insert(server.name.str());
                }
            }
        }
        return names;
    };
    REQUIRE(order("e1", "a", true).revision == 2);
    const std::set<std::string> a{"a"};

    SECTION("the backend servers of an evacuated zone are leaving until the evacuation ends")
    {
        CHECK(state.current().evacuated_zones == a);
        CHECK(leaving() == std::set<std::string>{"b0"});
        CHECK(order("e2", "b", true).revision == 3);
        CHECK(leaving() == std::set<std::string>{"b0", "b1"});
        CHECK(order("e3", "a", false).revision == 4);
        CHECK(leaving() == std::set<std::string>{"b1"});
    }
    SECTION("a repeated order is accepted and changes nothing")
    {
        const change_result again = order("e1", "a", true);
        CHECK(again.status == change_status::accepted);
        const change_result other_call = order("e2", "a", true);
        CHECK(other_call.status == change_status::accepted);
        CHECK(state.revision() == 2);
        CHECK(order("e3", "b", false).status == change_status::accepted);
        CHECK(state.revision() == 2);
    }
    SECTION("of two opposite orders the last committed one is in force, independent of its base revision")
    {
        order("e2", "a", false);
        order("e3", "a", true);
        CHECK(state.current().evacuated_zones == a);
    }
    SECTION("a complete document, a change with a version and a roll-back keep the evacuated zones")
    {
        REQUIRE(state.apply(replacement("c2", 2, body)).revision == 3);
        CHECK(state.current().evacuated_zones == a);
        change numbered = replacement("c3", 0, body);
        numbered.version = 9;
        REQUIRE(state.apply(numbered).revision == 4);
        CHECK(state.current().evacuated_zones == a);
        REQUIRE(state.apply({change_id("back"), 4, change_kind::roll_back, {{"revision", 1}}}).revision == 5);
        CHECK(state.current().evacuated_zones == a);
        order("e2", "a", false);
        CHECK(state.current().evacuated_zones.empty());
        CHECK(state.current().version == 9);
    }
    SECTION("a document with other evacuated zones is accepted with a warning")
    {
        body["evacuated_zones"] = {"b"};
        const change_result result = state.apply(replacement("c2", 2, body));
        CHECK(result.status == change_status::accepted);
        CHECK(result.found.to_text().find("/evacuated_zones") != std::string::npos);
        CHECK(state.current().evacuated_zones == a);
    }
    SECTION("a snapshot, a patch and a digest include the evacuated zones")
    {
        CHECK(catalog_state::deserialize(state.serialize()) == state);
        configuration before = state.current();
        before.evacuated_zones.clear();
        const nlohmann::json patch = diff(before, state.current());
        findings found;
        CHECK(apply_patch(before, patch, found) == state.current());
        CHECK_FALSE(found.has_errors());
        CHECK(before.digest() != state.current().digest());
        CHECK(digest_after(before, before.digest(), state.current(), patch) == state.current().digest());
    }
    SECTION("a malformed order is refused")
    {
        const std::vector<nlohmann::json> bodies{{{"evacuated", true}},
                                                 {{"availability_zone", 3}, {"evacuated", true}},
                                                 {{"availability_zone", "a"}},
                                                 {{"availability_zone", ""}, {"evacuated", true}},
                                                 "a"};
        for (std::size_t i = 0; i < bodies.size(); ++i)
        {
            change malformed = evacuation_order(change_id("bad-" + std::to_string(i)), "", true);
            malformed.body = bodies[i];
            const change_result refused = state.apply(malformed);
            CHECK(refused.status == change_status::invalid);
            CHECK(refused.found.has_errors());
            CHECK(state.revision() == 2);
        }
    }
}

// Guards against changes that every replica finds wrong again at each of its starts.
TEST_CASE("a change is checked before it is proposed", "[catalog]")
{
    catalog_state state;
    REQUIRE(state.apply(replacement("first", 0, document())).status == change_status::accepted);
    const catalog_state before = state;
    auto broken = document();
    broken["services"][0]["shards"] = 0;
    change wanted = replacement("second", 1, broken);

    SECTION("the check finds what the application finds, and changes nothing")
    {
        const findings found = state.check(wanted);
        CHECK(found.has_errors());
        CHECK(state == before);
        CHECK(state.apply(wanted).found == found);
        CHECK_FALSE(state.check(replacement("third", 1, document())).has_errors());
    }
    SECTION("a change that has no effect anyway isn't refused")
    {
        wanted.id = change_id("first");
        CHECK_FALSE(state.check(wanted).has_errors());
        wanted.id = change_id("second");
        wanted.base_revision = 0;
        CHECK_FALSE(state.check(wanted).has_errors());
        change numbered = replacement("numbered", 0, document());
        numbered.version = 5;
        REQUIRE(state.apply(numbered).status == change_status::accepted);
        wanted.version = 5;
        CHECK_FALSE(state.check(wanted).has_errors());
        wanted.version = 6;
        CHECK(state.check(wanted).has_errors());
    }
}

// Guards against a stricter check that takes away what earlier versions accepted, or lets new mistakes in.
TEST_CASE("only new configurations must fulfil the rules of check_new", "[catalog]")
{
    const auto with_hosts = [](const std::string& first, const std::string& second)
    {
        auto body = document();
        for (const std::string& host : {first, second})
        {
            body["routes"].push_back({{"name", "r" + std::to_string(body["routes"].size())},
                                      {"host", host},
                                      {"path_prefix", "/a/"},
                                      {"targets", {{{"service", "dispatch"}}}}});
        }
        return body;
    };
    catalog_state state;
    change wanted = replacement("new", 0, with_hosts("a.example", "A.example"));

    SECTION("a change in the log is applied as earlier versions did")
    {
        CHECK(state.check(wanted).has_errors());
        CHECK(state.apply(wanted).status == change_status::accepted);
        CHECK(catalog_state::deserialize(state.serialize()) == state);
        wanted.id = change_id("next");
        wanted.base_revision = 1;
        CHECK(state.check(wanted).has_errors());

        SECTION("and doesn't hold up changes of other items")
        {
            wanted.kind = change_kind::patch;
            wanted.body = {{"upsert", {{"services", {{{"name", "other"}}}}}}};
            CHECK_FALSE(state.check(wanted).has_errors());
            CHECK_FALSE(state.check(evacuation_order(change_id("e"), "z", true)).has_errors());
        }
    }
    SECTION("hosts are the same if requests with them are")
    {
        for (const char* same : {"a.example", "A.EXAMPLE", "a.example:"})
        {
            wanted.body = with_hosts("a.example", same);
            CHECK(state.check(wanted).has_errors());
        }
        for (const char* other : {"a.example:8443", "a.example.", "b.example", "[::1]"})
        {
            wanted.body = with_hosts("a.example", other);
            CHECK_FALSE(state.check(wanted).has_errors());
        }
        wanted.body = with_hosts("a.example:8443", "a.example:9443");
        CHECK_FALSE(state.check(wanted).has_errors());
    }
    SECTION("a patch must not make them wrong")
    {
        REQUIRE(state.apply(replacement("first", 0, with_hosts("a.example", "b.example"))).status ==
                change_status::accepted);
        wanted.kind = change_kind::patch;
        wanted.base_revision = 1;
        wanted.body = {{"upsert", {{"routes", with_hosts("B.example", "c.example")["routes"]}}}};
        wanted.body["upsert"]["routes"][0]["name"] = "r8";
        wanted.body["upsert"]["routes"][1]["name"] = "r9";
        CHECK(state.check(wanted).has_errors());
    }
    SECTION("a time-out lets an answer arrive")
    {
        wanted.body = with_hosts("a.example", "b.example");
        wanted.body["routes"][0]["timeout_ms"] = 0.2;
        CHECK(state.check(wanted).has_errors());
        wanted.body["routes"][0]["timeout_ms"] = 1;
        CHECK_FALSE(state.check(wanted).has_errors());
    }
}
