#include <flaxtiller/core/shared_map.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace flaxtiller;

TEST_CASE("a map that copies share", "[core]")
{
    shared_map<std::string, int> first;
    first.insert_or_assign("a", 1);
    first.emplace("b", 2);
    shared_map<std::string, int> second = first;
    REQUIRE(second.is_same(first));

    SECTION("a change of one leaves the other as it was")
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
    SECTION("equal maps are equal whether or not they share")
    {
        shared_map<std::string, int> other;
        other.insert_or_assign("b", 2);
        other.insert_or_assign("a", 1);
        CHECK(other == first);
        CHECK_FALSE(other.is_same(first));
    }
    SECTION("a change while nobody shares copies nothing")
    {
        second = {};
        const int* before = &first.find("a")->second;
        first.insert_or_assign("c", 3);
        CHECK(&first.find("a")->second == before);
    }
    SECTION("one that was moved from may be used")
    {
        shared_map<std::string, int> taken = std::move(second);
        CHECK(taken.size() == 2);
        second.insert_or_assign("d", 4); // NOLINT(bugprone-use-after-move): that it may is what is tested
        CHECK(taken.size() == 2);
    }
    SECTION("a value moved in together with its own key")
    {
        std::pair<std::string, std::string> item{"key that is too long to be kept in place", "value"};
        shared_map<std::string, std::pair<std::string, std::string>> pairs;
        pairs.insert_or_assign(item.first, std::move(item));
        CHECK(pairs.count("key that is too long to be kept in place") == 1);
    }
}
