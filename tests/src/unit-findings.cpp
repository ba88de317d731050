#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/findings.hpp>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace flaxtiller;
using nlohmann::json;

namespace
{

constexpr int many = 100000;

json many_times(const json& item)
{
    return json(static_cast<std::size_t>(many), item);
}

findings found_in(const json& document)
{
    findings found;
    (void)parse_configuration(document, found);
    return found;
}

} // namespace

// Guards against a document whose list of errors needs many times its own memory.
TEST_CASE("findings hold a bounded list", "[core]")
{
    findings found;

    SECTION("the first errors are listed, and that there are more")
    {
        for (int i = 0; i < many; ++i)
        {
            found.error(errc::wrong_type, "/" + std::to_string(i), "must be a number");
        }
        REQUIRE(found.items().size() == findings::max_listed + 1);
        CHECK(found.items().front().place == "/0");
        CHECK(found.items().back().code == errc::findings_omitted);
        CHECK(found.items().back().level == severity::error);
        CHECK(found.is_full());
    }
    SECTION("an error is listed after any number of warnings")
    {
        for (int i = 0; i < many; ++i)
        {
            found.warning(errc::selector_matches_nothing, "/w", "nothing matches");
        }
        CHECK_FALSE(found.has_errors());
        CHECK_FALSE(found.is_full());
        found.error(errc::wrong_type, "/e", "must be a number");
        CHECK(found.has_errors());
        CHECK(found.items().back().place == "/e");
    }
    SECTION("long texts are cut between two characters")
    {
        const std::string text = "/" + std::string(findings::max_text_bytes, 'a');
        std::string accents;
        while (accents.size() < 2 * findings::max_text_bytes)
        {
            accents += "\xC3\xA9";
        }
        found.error(errc::unknown_key, text, accents);
        found.error(errc::unknown_key, "x" + accents, text.substr(1));
        for (const finding& item : found.items())
        {
            CHECK(item.place.size() <= findings::max_text_bytes);
            CHECK(item.message.size() <= findings::max_text_bytes);
        }
        CHECK(found.items()[1].message == text.substr(1));
        CHECK_NOTHROW(json(found).dump());
    }
    SECTION("lists that are joined or decoded are as bounded")
    {
        for (int i = 0; i < many; ++i)
        {
            found.error(errc::wrong_type, "/e", "must be a number");
        }
        findings joined = found;
        joined.append(found);
        CHECK(joined == found);
        CHECK(json(found).get<findings>() == found);
        json of_an_older_build = json::array();
        for (int i = 0; i < many; ++i)
        {
            of_an_older_build.push_back(json(found).front());
        }
        CHECK(of_an_older_build.get<findings>() == found);
    }
}

// Guards against configurations in which everything is wrong.
TEST_CASE("a configuration without a right value has a bounded list of errors", "[catalog]")
{
    const json split = {{{"name", "r"}, {"host", "h"}, {"path_prefix", "/"}, {"targets", many_times(0)}}};
    const json fan_out = {{{"name", "r"}, {"host", "h"}, {"path_prefix", "/"}, {"fan_out", many_times("x")}}};
    json keys = json::object();
    for (int i = 0; i < many; ++i)
    {
        keys[std::to_string(i)] = 0;
    }
    for (const json& document :
         {json{{"routes", many_times(json::object())}}, json{{"services", many_times(0)}},
          json{{"routes", split}}, json{{"services", {{{"name", "s"}, {"labels", keys}}}}}, keys})
    {
        const findings found = found_in(document);
        CHECK(found.has_errors());
        CHECK(found.items().size() <= 2 * (findings::max_listed + 1));
    }
    findings found;
    const findings checked = validate(parse_configuration({{"routes", fan_out}}, found));
    CHECK_FALSE(found.has_errors());
    CHECK(checked.has_errors());
    CHECK(checked.items().size() <= 2 * (findings::max_listed + 1));
}
