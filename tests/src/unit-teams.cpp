#include "entry/routed_http_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/names.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/catalog/diff.hpp>
#include <flaxtiller/routing/routed_json.hpp>
#include <flaxtiller/teams/team_table.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using nlohmann::json;

namespace
{

json team_document(const std::string& name, std::vector<std::string> keys)
{
    return {{"name", name}, {"keys", std::move(keys)},    {"priority", 1}, {"requests_per_s", 16},
            {"burst", 8},   {"allowed_regions", {"east"}}};
}

change replace_with(json teams, std::int64_t version)
{
    change wanted;
    wanted.id = change_id("c-" + std::to_string(version));
    wanted.version = version;
    wanted.body = {{"teams", std::move(teams)}};
    add_key_secret(wanted);
    return wanted;
}

bool is_known(const configuration& entry_configuration, const std::string& key)
{
    return team_table(entry_configuration.teams, entry_configuration.key_secret).find_by_key(key) != nullptr;
}

} // namespace

TEST_CASE("the first change gives a deployment its secret, also without teams", "[teams]")
{
    const json upsert = {{"upsert", {{"services", json::array({{{"name", "s"}, {"shards", 1}}})}}}};
    const auto [kind, body] =
        GENERATE_COPY(std::pair{change_kind::replace, json::object()},
                      std::pair{change_kind::patch, json::object()}, std::pair{change_kind::patch, upsert});
    catalog_state state;
    change first;
    first.id = change_id("c-1");
    first.kind = kind;
    first.body = body;
    add_key_secret(first);
    REQUIRE(state.apply(first).status == change_status::accepted);
    const std::string secret = state.current().key_secret;
    CHECK_FALSE(secret.empty());

    SECTION("a second one doesn't replace it")
    {
        change second;
        second.id = change_id("c-2");
        second.base_revision = state.revision();
        second.body = json::object();
        add_key_secret(second);
        (void)state.apply(second);
        CHECK(state.current().key_secret == secret);
    }
}

TEST_CASE("a malformed change stays as it was sent", "[teams]")
{
    change malformed;
    for (const json& body : {json(), json::array(), json("text")})
    {
        malformed.body = body;
        add_key_secret(malformed);
        CHECK(malformed.body == body);
    }
    malformed.kind = change_kind::patch;
    malformed.body = {{"upsert", 7}};
    add_key_secret(malformed);
    CHECK(malformed.body == json{{"upsert", 7}});
}

TEST_CASE("entries receive digests of keys, and operators read back the keys they wrote", "[teams]")
{
    catalog_state state;
    const json teams = {team_document("a", {"key-one", "key-two"}), team_document("b", {"key-three"})};
    REQUIRE(state.apply(replace_with(teams, 1)).status == change_status::accepted);
    const configuration published = state.current().without_keys();

    const json document = published;
    CHECK(document.dump().find("key-one") == std::string::npos);
    CHECK(json(state.current()).at("teams").at(0).at("keys") == teams.at(0).at("keys"));

    const team_table table(published.teams, published.key_secret);
    REQUIRE(table.find_by_key("key-two") != nullptr);
    CHECK(table.find_by_key("key-two")->name == team_name("a"));
    CHECK(table.find_by_key("key-three")->name == team_name("b"));
    CHECK(table.find_by_key("key-four") == nullptr);
    CHECK(table.find(team_name("a"))->limit == rate_limit{16.0, 8.0});
    CHECK(table.find(team_name("a"))->allowed_regions.allows("east"));
    CHECK_FALSE(table.find(team_name("a"))->allowed_regions.allows("west"));

    SECTION("the full document and a patch give an entry the same configuration")
    {
        findings found;
        CHECK(parse_configuration(document, found) == published);
        const json changed = {team_document("a", {"key-two"}), team_document("c", {"key-one"})};
        REQUIRE(state.apply(replace_with(changed, 2)).status == change_status::accepted);
        const configuration next = state.current().without_keys();
        const json patch = diff(published, next);
        CHECK(patch.dump().find("key-one") == std::string::npos);
        const configuration patched = apply_patch(published, patch, found);
        CHECK(patched == next);
        CHECK(digest_after(published, published.digest(), patched, patch) == next.digest());
        CHECK_FALSE(found.has_errors());
        const team_table moved(patched.teams, patched.key_secret);
        CHECK(moved.find_by_key("key-one")->name == team_name("c"));
        CHECK(moved.find_by_key("key-three") == nullptr);
    }
    SECTION("later revisions keep the secret, so that digests stay comparable")
    {
        const std::string secret = state.current().key_secret;
        CHECK_FALSE(secret.empty());
        REQUIRE(state.apply(replace_with(json::array(), 2)).status == change_status::accepted);
        REQUIRE(state.apply(replace_with(teams, 3)).status == change_status::accepted);
        CHECK(state.current().key_secret == secret);
        CHECK(is_known(state.current().without_keys(), "key-one"));
    }
    SECTION("the configuration is unchanged after a snapshot is restored")
    {
        CHECK(catalog_state::deserialize(state.serialize()).current() == state.current());
    }
}

// Guards against a deployment that has no secret until it declares teams, by which its processes could
// recognise each other.
TEST_CASE("the first change that states items generates the secret", "[teams]")
{
    catalog_state state;
    const auto apply = [&](change_kind kind, json body, const std::string& id)
    {
        change wanted;
        wanted.id = change_id(id);
        wanted.kind = kind;
        wanted.base_revision = state.revision();
        wanted.body = std::move(body);
        add_key_secret(wanted);
        return state.apply(wanted);
    };
    SECTION("a document without teams")
    {
        REQUIRE(apply(change_kind::replace, json::object(), "a").revision == 1);
        CHECK_FALSE(state.current().key_secret.empty());
        const std::string secret = state.current().key_secret;
        // A repetition gets the first result although it brings another secret.
        CHECK(apply(change_kind::replace, json::object(), "a").revision == 1);
        CHECK(state.revision() == 1);
        // A change that was proposed before the first one was committed brings another secret, too.
        CHECK(apply(change_kind::replace, json::object(), "b").revision == 2);
        CHECK(state.current().key_secret == secret);
    }
    SECTION("a document that was read from a deployment without a secret")
    {
        REQUIRE(apply(change_kind::replace, json(configuration()), "a").revision == 1);
        CHECK_FALSE(state.current().key_secret.empty());
    }
    SECTION("a patch, with and without items")
    {
        const json patch = GENERATE(json::object(), json{{"remove", json::object()}},
                                    json{{"upsert", {{"services", json::array()}}}});
        REQUIRE(apply(change_kind::patch, patch, "a").revision == 1);
        CHECK_FALSE(state.current().key_secret.empty());
    }
    SECTION("a numbered document that is repeated has no effect")
    {
        change first;
        first.id = change_id("v3");
        first.version = 3;
        first.body = json::object();
        change repeated = first;
        add_key_secret(first);
        add_key_secret(repeated);
        REQUIRE(state.apply(first).status == change_status::accepted);
        const std::string secret = state.current().key_secret;
        CHECK(state.apply(repeated).status == change_status::superseded);
        CHECK(state.revision() == 1);
        CHECK(state.current().key_secret == secret);
        CHECK(platform::write_configuration(state.current()).dump().find(secret) == std::string::npos);
    }
    SECTION("a deployment without a secret gets one with its next change, and entries follow by a patch")
    {
        change without;
        without.id = change_id("old");
        without.body = json::object();
        REQUIRE(state.apply(without).revision == 1);
        const configuration before = state.current();
        REQUIRE(before.key_secret.empty());
        REQUIRE(apply(change_kind::replace, json::object(), "a").revision == 2);
        const json patch = diff(before, state.current());
        findings found;
        const configuration patched = apply_patch(before, patch, found);
        CHECK(patched == state.current());
        CHECK_FALSE(patched.key_secret.empty());
        CHECK(digest_after(before, before.digest(), patched, patch) == state.current().digest());
    }
    SECTION("a malformed change stays malformed, and an evacuation states nothing else")
    {
        CHECK(apply(change_kind::replace, json("text"), "a").status == change_status::invalid);
        CHECK(apply(change_kind::patch, json("text"), "b").status == change_status::invalid);
        CHECK(apply(change_kind::patch, {{"upsert", 3}}, "c").status == change_status::invalid);
        CHECK(apply(change_kind::replace, {{"key_secret", 3}}, "d").status == change_status::invalid);
        change order = evacuation_order(change_id("e"), "z", true);
        add_key_secret(order);
        CHECK(state.apply(order).status == change_status::accepted);
        CHECK(state.current().key_secret.empty());
    }
}

TEST_CASE("a key of two teams is refused with both team names but without the key", "[teams]")
{
    catalog_state state;
    const json teams = {team_document("a", {"own", "shared-key"}), team_document("b", {"shared-key"})};
    const change_result refused = state.apply(replace_with(teams, 1));
    CHECK(refused.status == change_status::invalid);
    const std::string text = refused.found.to_text();
    CHECK(text.find("/teams/b/keys/0") != std::string::npos);
    CHECK(text.find("team a") != std::string::npos);
    CHECK(text.find("shared-key") == std::string::npos);
    CHECK(state.revision() == 0);
}

TEST_CASE("findings on a team contain the location and never the key", "[teams]")
{
    const auto text_of = [](const json& item)
    {
        findings found;
        (void)parse_configuration({{"teams", {item}}}, found);
        CHECK(found.has_errors());
        CHECK(found.to_text().find("secret-key") == std::string::npos);
        return found.to_text();
    };
    json bad = team_document("a", {"secret-key"});
    SECTION("an empty key is an error")
    {
        bad["keys"].push_back("");
        CHECK(text_of(bad).find("/teams/0/keys/1") != std::string::npos);
    }
    SECTION("a key that isn't a string is an error")
    {
        bad["keys"].push_back(3);
        CHECK(text_of(bad).find("/teams/0/keys") != std::string::npos);
    }
    SECTION("a negative rate is an error")
    {
        bad["requests_per_s"] = -1;
        CHECK(text_of(bad).find("/teams/0/requests_per_s") != std::string::npos);
    }
    SECTION("a missing name is an error")
    {
        bad.erase("name");
        CHECK(text_of(bad).find("/teams/0/name") != std::string::npos);
    }
    SECTION("an empty list of regions is an error")
    {
        bad["allowed_regions"] = json::array();
        CHECK(text_of(bad).find("/teams/0/allowed_regions") != std::string::npos);
    }
    SECTION("an unknown field is an error")
    {
        bad["secret"] = "secret-key";
        CHECK(text_of(bad).find("/teams/0/secret") != std::string::npos);
    }
}

TEST_CASE("tenants of the platform are read back as they were written", "[teams][platform]")
{
    const json document = json::parse(R"({"version":3,
        "routes":[{"name":"r","host":"h","pathPrefix":"/a/","type":"safe","timeoutMs":500,"targetLatencyMs":80,
                   "priority":2,"service":"s","maxAttempts":2,"allowAnonymous":true}],
        "services":[{"name":"s","healthCheckPath":"/health","maxConnections":26,"protocol":"h1","tls":false}],
        "tenants":[{"name":"ta","apiKeys":["k2","k1"],"priority":0,"ratePerS":16,"burst":1.5,
                    "allowedRegions":["east"]},
                   {"name":"tb","apiKeys":[]}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
    findings found;
    change wanted = platform::read_configuration(document.dump(), {}, found);
    REQUIRE_FALSE(found.has_errors());
    add_key_secret(wanted);
    catalog_state state;
    REQUIRE(state.apply(wanted).status == change_status::accepted);
    CHECK(platform::write_configuration(state.current()) == document);
    CHECK(state.current().routes.at("r").allows_anonymous);

    SECTION("two tenants that share a key are refused")
    {
        json shared = document;
        shared["version"] = 4;
        shared["tenants"][1]["apiKeys"] = {"k1"};
        change refused = platform::read_configuration(shared.dump(), {}, found);
        CHECK(state.apply(refused).status == change_status::invalid);
    }
    SECTION("tenants that aren't a list are refused")
    {
        json bad = document;
        bad["tenants"] = 3;
        (void)platform::read_configuration(bad.dump(), {}, found);
        CHECK(found.has_errors());
    }
}

TEST_CASE("a caller's key isn't forwarded, and its team is the one that the entry determined", "[teams]")
{
    const shell::routed_http_codec codec(platform::header_names());
    shell::http_request request;
    request.method = "GET";
    request.target = "/a/x";
    request.headers.add("Host", "h");
    request.headers.add("X-Request-Id", "r-1");
    request.headers.add("x-api-key", "secret-key");
    request.headers.add("X-Tenant-Id", "forged");
    CHECK(codec.key_of(request) == "secret-key");
    auto read = codec.read_request(request);
    REQUIRE(read);
    read->team = team_name("ta");

    const json to_peer = *read;
    CHECK(to_peer.dump().find("secret-key") == std::string::npos);
    CHECK(to_peer.dump().find("forged") == std::string::npos);
    CHECK(to_peer.get<routed_request>() == *read);

    start_routed_attempt attempt;
    attempt.sent = std::make_shared<const routed_request>(*read);
    const shell::http_exchange sent = codec.write_attempt(attempt, duration::from_ms(100));
    CHECK(sent.headers.find("X-Api-Key") == nullptr);
    CHECK(sent.headers.value("X-Tenant-Id") == "ta");

    SECTION("the request of an anonymous caller names no team")
    {
        read->team = team_name();
        attempt.sent = std::make_shared<const routed_request>(*read);
        CHECK(codec.write_attempt(attempt, duration::from_ms(100)).headers.find("X-Tenant-Id") == nullptr);
    }
}
