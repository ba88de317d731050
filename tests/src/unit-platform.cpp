#include "platform/configuration_codec.hpp"

#include <flaxtiller/catalog/catalog_state.hpp>
#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;
using nlohmann::json;

namespace
{

json example()
{
    return json::parse(R"({"version":7,
        "routes":[
            {"name":"r-a","host":"h.example","pathPrefix":"/a/","type":"safe","timeoutMs":500,"targetLatencyMs":80,
             "priority":2,"fanoutServices":["s1","s2"],"maxAttempts":2,"topK":5,"minSuccessShare":0.75},
            {"name":"r-b","host":"h.example","pathPrefix":"/b/","type":"unsafe","timeoutMs":2000,
             "targetLatencyMs":300,"priority":0,"service":"s3","maxAttempts":1},
            {"name":"r-c","host":"h.example","pathPrefix":"/c/","type":"safe","timeoutMs":2000,
             "targetLatencyMs":300,"priority":1,"maxAttempts":3,
             "trafficSplit":[{"service":"s3","weight":9},{"service":"s1","weight":1}]}],
        "services":[
            {"name":"s1","healthCheckPath":"/health","maxConnections":26,"protocol":"h1","tls":false},
            {"name":"s2","healthCheckPath":"/health","maxConnections":26,"protocol":"h1","tls":false},
            {"name":"s3","healthCheckPath":"/well","maxConnections":45,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

change_result apply_document(catalog_state& state, const json& document)
{
    findings found;
    const change requested_change = platform::read_configuration(document.dump(), {}, found);
    if (found.has_errors())
    {
        return {change_status::invalid, state.revision(), {}, found};
    }
    const findings refused = state.check(requested_change);
    return refused.has_errors() ? change_result{change_status::invalid, state.revision(), {}, refused}
                                : state.apply(requested_change);
}

} // namespace

TEST_CASE("the platform's configuration is converted to the product's and back without loss", "[platform]")
{
    catalog_state state;
    REQUIRE(apply_document(state, example()).status == change_status::accepted);
    CHECK(platform::write_configuration(state.current()) == example());

    SECTION("placement assigns registered backend servers to services by label")
    {
        configuration value = state.current();
        registration registered;
        registered.id = backend_server_name("i-1");
        registered.service = service_name("s1");
        registered.address = "10.0.0.1:80";
        registered.slots = 4;
        value.backend_servers.emplace(registered.id,
                                      to_backend_server(registered, value.services.at(registered.service)));
        const placement placed = place(1, value);
        CHECK(placed.services.at(service_name("s1"))->shards.at(0).size() == 1);
        CHECK(placed.services.at(service_name("s1"))->shards.at(0).at(0).connection_limit == 26);
        CHECK(placed.services.at(service_name("s2"))->shards.at(0).empty());
    }
    SECTION(
        "a higher version replaces the configuration; an equal or lower one is acknowledged without effect")
    {
        json changed_document = example();
        changed_document["routes"].erase(0);
        CHECK(apply_document(state, changed_document).status == change_status::superseded);
        changed_document["version"] = 6;
        CHECK(apply_document(state, changed_document).status == change_status::superseded);
        CHECK(platform::write_configuration(state.current()) == example());
        changed_document["version"] = 9;
        CHECK(apply_document(state, changed_document).status == change_status::accepted);
        CHECK(platform::write_configuration(state.current()) == changed_document);
        CHECK(apply_document(state, example()).status == change_status::superseded);
    }
    SECTION("the configuration is restored from a snapshot")
    {
        const catalog_state restored = catalog_state::deserialize(state.serialize());
        CHECK(platform::write_configuration(restored.current()) == example());
    }
}

TEST_CASE("an invalid platform configuration is refused and changes nothing", "[platform]")
{
    catalog_state state;
    json invalid_document = example();
    SECTION("a route names an unknown service")
    {
        invalid_document["routes"][0]["fanoutServices"][1] = "nowhere";
    }
    SECTION("two routes have the same host and prefix")
    {
        invalid_document["routes"][1]["pathPrefix"] = "/a/";
    }
    SECTION("the weights of a traffic split add up to zero")
    {
        invalid_document["routes"][2]["trafficSplit"] = {{{"service", "s1"}, {"weight", 0}}};
    }
    SECTION("the time-out of a route is zero")
    {
        invalid_document["routes"][0]["timeoutMs"] = 0;
    }
    SECTION("a route has no target")
    {
        invalid_document["routes"][1].erase("service");
    }
    SECTION("a service name has the wrong type")
    {
        invalid_document["services"][0]["name"] = 3;
    }
    SECTION("the list of routes has the wrong type")
    {
        invalid_document["routes"] = 3;
    }
    SECTION("the list of routes is missing")
    {
        invalid_document.erase("routes");
    }
    // Guards against a configuration that is confirmed and reads back as another one.
    SECTION("a key has a value that can't be read")
    {
        const auto& [key, value] = GENERATE(table<std::string, json>({
            {"/limits", json::array()},
            {"/limits", 5},
            {"/limits", nullptr},
            {"/limits/maxBodyBytes", nullptr},
            {"/tenants", nullptr},
            {"/routes/0/name", nullptr},
            {"/routes/0/timeoutMs", nullptr},
            {"/routes/0/timeoutMs", 0.2},
            {"/routes/0/targetLatencyMs", nullptr},
            {"/routes/0/priority", nullptr},
            {"/routes/0/topK", nullptr},
            {"/routes/0/fanoutServices", nullptr},
            {"/routes/0/type", nullptr},
            {"/routes/0/allowedRegions", nullptr},
            {"/routes/1/service", nullptr},
            {"/routes/2/trafficSplit", nullptr},
            {"/routes/2/trafficSplit", 3},
            {"/routes/2/service", "s1"},
            {"/services/0/tls", "no"},
            {"/services/0/tls", nullptr},
            {"/services/0/maxConnections", nullptr},
            {"/services/0/healthCheckPath", nullptr},
            {"/services/0/warmupS", nullptr},
        }));
        CAPTURE(key, value);
        invalid_document[json::json_pointer(key)] = value;
    }
    SECTION("the version is missing")
    {
        invalid_document.erase("version");
    }
    const change_result result = apply_document(state, invalid_document);
    CHECK(result.status == change_status::invalid);
    CHECK(result.found.has_errors());
    CHECK(state.revision() == 0);
}

TEST_CASE("a truncated configuration document is refused", "[platform]")
{
    const std::string text = example().dump();
    findings found;
    platform::read_configuration(text.substr(0, text.size() / 2), {}, found);
    CHECK(found.has_errors());
}
