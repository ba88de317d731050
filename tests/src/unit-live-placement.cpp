#include <flaxtiller/registration/live_placement.hpp>

#include <catch2/catch.hpp>

using namespace flaxtiller;

namespace
{

/// @return a configuration of @a count services, each served by the backend servers that register for it
configuration configuration_of(int count)
{
    configuration value;
    for (int i = 0; i < count; ++i)
    {
        service item;
        item.name = service_name("s" + std::to_string(i));
        item.labels = {{"service", item.name.str()}};
        item.connection_limit = 30;
        value.services.emplace(item.name, item);
        placement_rule rule;
        rule.name = item.name.str();
        rule.services = selector({{"service", {item.name.str()}}});
        rule.backend_servers = selector({{"service", {item.name.str()}}});
        value.placement_rules.emplace(rule.name, rule);
    }
    return value;
}

registration registered(const std::string& id, int service, registration_state state)
{
    registration item;
    item.id = backend_server_name(id);
    item.service = service_name("s" + std::to_string(service));
    item.address = "10.0.0.1:80";
    item.availability_zone = "a";
    item.state = state;
    return item;
}

std::vector<std::string> names_in(const placement& placed, const std::string& service)
{
    std::vector<std::string> names;
    for (const backend_server& server : placed.services.at(service_name(service))->shards.at(0))
    {
        names.push_back(server.name.str());
    }
    return names;
}

} // namespace

TEST_CASE("the placement follows backend servers that register and deregister", "[registration]")
{
    const configuration value = configuration_of(3);
    live_placement live;
    live.configure(7, value, {registered("b", 0, registration_state::ready)});
    const auto first = live.current();

    SECTION("backend servers are placed by the rules, sorted by name")
    {
        live.apply({registered("a", 0, registration_state::ready)});
        CHECK(names_in(*first, "s0") == std::vector<std::string>{"b"});
        CHECK(names_in(*live.current(), "s0") == std::vector<std::string>{"a", "b"});
        CHECK(live.current()->revision == 7);
    }
    SECTION("incremental changes give the same placement as a new computation")
    {
        live.apply({registered("a", 1, registration_state::ready),
                    registered("c", 1, registration_state::draining),
                    registered("b", 0, registration_state::gone)});
        live_placement recomputed;
        recomputed.configure(7, value,
                             {registered("a", 1, registration_state::ready),
                              registered("c", 1, registration_state::draining)});
        CHECK(*live.current() == *recomputed.current());
        CHECK(live.current()->services.at(service_name("s1"))->shards[0][1].leaving);
    }
    SECTION("a backend server that registers for another service leaves the first one")
    {
        live.apply({registered("b", 2, registration_state::ready)});
        CHECK(names_in(*live.current(), "s0").empty());
        CHECK(names_in(*live.current(), "s2") == std::vector<std::string>{"b"});
    }
    SECTION("a backend server that registers for an undeclared service serves none")
    {
        live.apply({registered("b", 9, registration_state::ready)});
        CHECK(names_in(*live.current(), "s0").empty());
    }
    SECTION("a declared backend server is placed again when a registered one of its name is gone")
    {
        configuration declared = value;
        backend_server declared_server;
        declared_server.name = backend_server_name("b");
        declared_server.labels = {{"service", "s1"}, {"shard", "0"}};
        declared.backend_servers.emplace(declared_server.name, declared_server);
        live.configure(8, declared, {registered("b", 0, registration_state::ready)});
        CHECK(names_in(*live.current(), "s1").empty());
        live.apply({registered("b", 0, registration_state::gone)});
        CHECK(names_in(*live.current(), "s0").empty());
        CHECK(names_in(*live.current(), "s1") == std::vector<std::string>{"b"});
    }
}

TEST_CASE("a registration changes the placement of its own service only", "[registration]")
{
    for (const int count : {30, 300, 3300})
    {
        const configuration value = configuration_of(count);
        live_placement live;
        live.configure(1, value, {});
        const auto before = live.current();
        CHECK(live.current() == before);
        live.apply({registered("b", 5, registration_state::ready)});
        const auto after = live.current();
        live.configure(2, value, {registered("b", 5, registration_state::ready)});
        CHECK(live.current()->revision == 2);
        const auto reconfigured = live.current();
        int changed = 0;
        int changed_by_revision = 0;
        for (const auto& [name, service] : after->services)
        {
            changed += service.is_shared_with(before->services.at(name)) ? 0 : 1;
            changed_by_revision += service.is_shared_with(reconfigured->services.at(name)) ? 0 : 1;
        }
        CHECK(changed == 1);
        CHECK(changed_by_revision == 0);
    }
}
