#include <flaxtiller/core/shared_map.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace flaxtiller;

TEST_CASE("copies of a shared map share their items until a change", "[core]")
{
    shared_map<std::string, int> first;
    first.insert_or_assign("a", 1);
    first.emplace("b", 2);
    shared_map<std::string, int> second = first;
    REQUIRE(second.is_shared_with(first));

    SECTION("a change of one copy does not affect the other")
    {
        second.at("a") = 7;
        second["c"] = 3;
        CHECK(second.erase("b") == 1);
        CHECK(first.at("a") == 1);
        CHECK(first.count("b") == 1);
        CHECK(first.count("c") == 0);
        CHECK(second.size() == 2);
        CHECK_FALSE(second == first);
        second.clear();
        CHECK(second.empty());
        CHECK(first.size() == 2);
    }
    SECTION("maps with equal items compare equal even if they do not share them")
    {
        shared_map<std::string, int> other;
        other.insert_or_assign("b", 2);
        other.insert_or_assign("a", 1);
        CHECK(other == first);
        CHECK_FALSE(other.is_shared_with(first));
    }
    SECTION("a change of an unshared map copies no items")
    {
        second = {};
        const int* before = &first.find("a")->second;
        first.insert_or_assign("c", 3);
        CHECK(&first.find("a")->second == before);
    }
    SECTION("a moved-from map may be used")
    {
        shared_map<std::string, int> taken = std::move(second);
        CHECK(taken.size() == 2);
        second.insert_or_assign("d", 4); // NOLINT(bugprone-use-after-move): the use is under test
        CHECK(taken.size() == 2);
    }
    SECTION("a value may be moved in together with its own key")
    {
        std::pair<std::string, std::string> item{"key that is too long to be kept in place", "value"};
        shared_map<std::string, std::pair<std::string, std::string>> pairs;
        pairs.insert_or_assign(item.first, std::move(item));
        CHECK(pairs.count("key that is too long to be kept in place") == 1);
    }
}
