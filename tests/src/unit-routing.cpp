#include <flaxtiller/routing/route_host.hpp>
#include <flaxtiller/routing/route_table.hpp>
#include <flaxtiller/routing/target_choice.hpp>
#include <flaxtiller/routing/top_records.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace flaxtiller;

namespace
{

route route_at(const std::string& name, const std::string& host, const std::string& prefix)
{
    route item;
    item.name = name;
    item.host = host;
    item.path_prefix = prefix;
    item.targets = {{service_name("s"), 1}};
    return item;
}

std::string record(char fill)
{
    return std::string(record_bytes, fill);
}

} // namespace

TEST_CASE("a request is matched to a route by host and path prefix", "[routing]")
{
    std::map<std::string, route> routes;
    routes["a"] = route_at("a", "one.example", "/a/");
    routes["ab"] = route_at("ab", "one.example", "/a/b/");
    routes["other"] = route_at("other", "two.example", "/a/");
    routes["root"] = route_at("root", "three.example", "/");
    const route_table table(routes);
    const auto name_at = [&](const char* host, const char* target)
    {
        const auto found = table.find(host, target);
        return found ? found->name : std::string("none");
    };

    SECTION("the longest matching prefix of the host wins")
    {
        CHECK(name_at("one.example", "/a/x") == "a");
        CHECK(name_at("one.example", "/a/b/x") == "ab");
        CHECK(name_at("one.example", "/a/b") == "a");
        CHECK(name_at("two.example", "/a/b/x") == "other");
        CHECK(name_at("three.example", "/anything") == "root");
    }
    SECTION("the host's case and the query are ignored, and a port where no route states one")
    {
        CHECK(name_at("One.Example:8080", "/a/b/?c=/d/") == "ab");
        CHECK(name_at("one.example", "/a?x=/a/b/") == "none");
    }
    SECTION("no route matches an unknown host or prefix")
    {
        CHECK(name_at("four.example", "/a/") == "none");
        CHECK(name_at("one.example", "/b/") == "none");
        CHECK(name_at("", "") == "none");
    }
}

// Guards against requests for one port of a host that run at the service of another one.
TEST_CASE("a route whose host states a port serves this port only", "[routing]")
{
    std::map<std::string, route> routes;
    const auto add = [&](const std::string& name, const std::string& host, const std::string& prefix)
    {
        routes[name] = route_at(name, host, prefix);
    };
    const auto name_at = [&](const char* host, const char* target)
    {
        const auto found = route_table(routes).find(host, target);
        return found ? found->name : std::string("none");
    };

    SECTION("with the same prefix, whatever the order of the routes' names")
    {
        for (const auto& [first, second] : {std::pair("a", "b"), std::pair("b", "a")})
        {
            routes.clear();
            add(first, "h:8443", "/find/");
            add(second, "h:9443", "/find/");
            CHECK(name_at("h:8443", "/find/x") == first);
            CHECK(name_at("H:9443", "/find/x") == second);
            CHECK(name_at("h", "/find/x") == "none");
            CHECK(name_at("h:7777", "/find/x") == "none");
            CHECK(name_at("h:84430", "/find/x") == "none");
            CHECK(name_at("h:844", "/find/x") == "none");
        }
    }
    SECTION("with different prefixes")
    {
        add("a", "h:8443", "/find/");
        add("b", "h:9443", "/find/deep/");
        CHECK(name_at("h:8443", "/find/deep/x") == "a");
        CHECK(name_at("h:9443", "/find/deep/x") == "b");
        CHECK(name_at("h:9443", "/find/x") == "none");
    }
    SECTION("a route without a port serves each port that has no fitting route of its own")
    {
        for (const auto& [first, second] : {std::pair("a", "b"), std::pair("b", "a")})
        {
            routes.clear();
            add(first, "h", "/find/");
            add(second, "h:8443", "/find/");
            add("c", "h", "/find/deep/");
            add("d", "h", "/other/");
            CHECK(name_at("h", "/find/x") == first);
            CHECK(name_at("h:", "/find/x") == first);
            CHECK(name_at("h:7777", "/find/x") == first);
            CHECK(name_at("h:8443", "/find/x") == second);
            CHECK(name_at("h:8443", "/find/deep/x") == second);
            CHECK(name_at("h:8443", "/other/x") == "d");
            CHECK(name_at("h:7777", "/find/deep/x") == "c");
        }
    }
    SECTION("with addresses")
    {
        add("a", "[::1]:8443", "/");
        add("b", "[::1]:9443", "/");
        add("c", "[::2]", "/");
        add("d", "127.0.0.1:8443", "/");
        add("e", "127.0.0.1", "/");
        CHECK(name_at("[::1]:8443", "/") == "a");
        CHECK(name_at("[::1]:9443", "/") == "b");
        CHECK(name_at("[::1]", "/") == "none");
        CHECK(name_at("[::2]:8443", "/") == "c");
        CHECK(name_at("[::2]", "/") == "c");
        CHECK(name_at("127.0.0.1:8443", "/") == "d");
        CHECK(name_at("127.0.0.1:9443", "/") == "e");
    }
}

TEST_CASE("hosts are compared in one form", "[routing]")
{
    CHECK(comparable_host("One.Example:8080") == "one.example:8080");
    CHECK(comparable_host("one.example:") == "one.example");
    CHECK(comparable_host("one.example.") == "one.example.");
    CHECK(comparable_host("[2001:DB8::1]:") == "[2001:db8::1]");
    CHECK(comparable_host("") == "");
    CHECK(comparable_host(":") == "");
    CHECK(without_port("one.example:8080") == "one.example");
    CHECK(without_port("one.example") == "one.example");
    CHECK(without_port("[::1]:80") == "[::1]");
    CHECK(without_port("[::1]") == "[::1]");
    CHECK(without_port("2001:db8::1") == "2001:db8::1");
    CHECK(without_port("one.example:http") == "one.example:http");
}

TEST_CASE("requests are distributed over targets by weight", "[routing]")
{
    route split = route_at("split", "h", "/");
    split.targets = {
        {service_name("a"), 7}, {service_name("b"), 2}, {service_name("c"), 1}, {service_name("d"), 0}};
    target_choice choice;
    std::map<std::string, int> count;
    const auto ask = [&](int times)
    {
        for (int i = 0; i < times; ++i)
        {
            ++count[choice.next(split).str()];
        }
    };

    SECTION("each ten consecutive requests are divided exactly by weight")
    {
        ask(30);
        CHECK(count == std::map<std::string, int>{{"a", 21}, {"b", 6}, {"c", 3}});
    }
    SECTION("changed weights restart the distribution")
    {
        ask(3);
        count.clear();
        split.targets = {{service_name("a"), 0}, {service_name("b"), 5}};
        ask(4);
        CHECK(count == std::map<std::string, int>{{"b", 4}});
    }
}

TEST_CASE("the greatest records of several bodies are merged", "[routing]")
{
    SECTION("in descending order of unsigned bytes, with all equal records")
    {
        const std::string one = record('a') + record('\xff');
        const std::string two = record('b') + record('a');
        CHECK(top_records({one, two}, 3) == record('\xff') + record('b') + record('a'));
        CHECK(top_records({one, two}, 9) == record('\xff') + record('b') + record('a') + record('a'));
    }
    SECTION("a remainder shorter than a record is ignored")
    {
        CHECK(top_records({record('a') + "tail", "x"}, 5) == record('a'));
    }
    SECTION("the result is empty if no records are requested or given")
    {
        CHECK(top_records({record('a')}, 0).empty());
        CHECK(top_records({}, 5).empty());
    }
}
