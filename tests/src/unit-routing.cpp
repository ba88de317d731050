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
    SECTION("the host's case and port and the query are ignored")
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
