#include <flaxtiller/core/bounded_document.hpp>
#include <flaxtiller/core/error.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace flaxtiller;

namespace
{

constexpr std::size_t megabyte = std::size_t{1} << 20U;

std::string repeated(const std::string& item, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
    {
        text += item;
    }
    return text;
}

std::string nested(const std::string& opening, const std::string& closing, std::size_t depth)
{
    return repeated(opening, depth) + "1" + repeated(closing, depth);
}

/// @return a list of @a count times @a item
std::string list_of(const std::string& item, std::size_t count)
{
    return "[" + item + repeated("," + item, count - 1) + "]";
}

} // namespace

// Guards against documents that end a process: by the stack that their copies take, or by their memory.
TEST_CASE("check_document decides on a document before it is built", "[core]")
{
    const document_bounds bounds{4, 100000, megabyte, {}};

    SECTION("nesting is bounded, whatever is nested and wherever it stands")
    {
        CHECK_FALSE(check_document(nested("[", "]", 4), bounds));
        CHECK_FALSE(check_document(nested("{\"a\":", "}", 4), bounds));
        CHECK(check_document(nested("[", "]", 5), bounds) == errc::document_too_deep);
        CHECK(check_document(nested("{\"a\":", "}", 5), bounds) == errc::document_too_deep);
        CHECK(check_document(R"({"unknown":[[1],[[[[]]]]]})", bounds) == errc::document_too_deep);
        CHECK_FALSE(check_document("[[[[]],[[]]],[[[]]]]", bounds));
        const std::string many = std::string(megabyte / 4, '[');
        CHECK(check_document(many, bounds) == errc::document_too_deep);
    }
    SECTION("the memory counts the text, values and containers")
    {
        const document_bounds priced{4, megabyte, 1000, {1, 10, 100}};
        // 8 bytes of text, three values and a container.
        const std::string text = R"([1,"ab"])";
        CHECK_FALSE(check_document(text, {4, megabyte, 8 + 30 + 100, priced.cost}));
        CHECK(check_document(text, {4, megabyte, 8 + 30 + 100 - 1, priced.cost}) == errc::document_too_large);
        CHECK_FALSE(check_document(R"({"k":[]})", {4, megabyte, 8 + 30 + 200, priced.cost}));
        CHECK(check_document(R"({"k":[]})", {4, megabyte, 8 + 30 + 200 - 1, priced.cost}) ==
              errc::document_too_large);
        CHECK(check_document("\"" + std::string(1000, 'a') + "\"", priced) == errc::document_too_large);
    }
    SECTION("texts are bounded, keys among them")
    {
        const document_bounds narrow{4, 5, megabyte, {}};
        CHECK_FALSE(check_document(R"({"abcde":["abcde",""]})", narrow));
        CHECK(check_document(R"(["abcdef"])", narrow) == errc::text_too_long);
        CHECK(check_document(R"({"abcdef":1})", narrow) == errc::text_too_long);
        CHECK(check_document(R"(["\u00e9\u00e9\u00e9"])", narrow) == errc::text_too_long);
    }
    SECTION("items of the list with the key cost more, and only they")
    {
        const document_cost cost{0, 0, 0, 100, "items"};
        const auto bytes_of = [&](const std::string& text)
        {
            std::size_t bytes = 0;
            while (check_document(text, {8, megabyte, bytes, cost}))
            {
                bytes += 100;
            }
            return bytes;
        };
        CHECK(bytes_of(R"({"items":[{},1,"a",[[1,2],3]],"others":[{},{}]})") == 400);
        CHECK(bytes_of(R"([{"items":[{"a":[1,2]}]},{"items":[1]},4])") == 200);
        CHECK(bytes_of(R"({"items":{"a":[1]},"b":[1]})") == 0);
        CHECK(bytes_of(R"({"items":1,"b":[1]})") == 0);
    }
    SECTION("small values need many times their text")
    {
        for (const char* item : {"0", "{}", "[]", "\"\"", "null", R"({"":0})"})
        {
            CHECK(check_document(list_of(item, megabyte / 8), bounds) == errc::document_too_large);
            CHECK_FALSE(check_document(list_of(item, 1000), bounds));
        }
    }
    SECTION("what isn't JSON is malformed")
    {
        for (const char* text : {"", "{", "[1", "[1]]", "{} {}", "{\"a\"}", "nul", "\xff", "1e999"})
        {
            CHECK(check_document(text, bounds) == errc::document_malformed);
        }
    }
}

TEST_CASE("parse_document decodes what fulfils the limits", "[core]")
{
    std::error_code failed;
    CHECK(parse_document(R"({"a":[1,{"b":null}]})", {}, failed) ==
          nlohmann::json{{"a", {1, {{"b", nullptr}}}}});
    CHECK_FALSE(failed);
    CHECK(parse_document("[", {}, failed).is_discarded());
    CHECK(failed == errc::document_malformed);
    CHECK(parse_document("[[1]]", {1, megabyte, megabyte, {}}, failed).is_discarded());
    CHECK(failed == errc::document_too_deep);
}
