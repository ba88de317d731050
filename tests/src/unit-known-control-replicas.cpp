#include "entry/known_control_replicas.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller::shell;

namespace
{

std::vector<named_address> seeds()
{
    std::vector<named_address> list;
    for (const char* name : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"})
    {
        list.push_back({name, *parse_address(name)});
    }
    return list;
}

const std::vector<std::string> founders{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"};
const std::vector<std::string> all{"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"};

} // namespace

TEST_CASE("the control replicas that an entry knows", "[entry]")
{
    known_control_replicas known(seeds());
    CHECK(known.replicas().size() == 3);

    SECTION("a replica names others")
    {
        CHECK(known.on_member_list("10.0.0.1:7", all));
        CHECK(known.knows("10.0.0.4:7"));
        CHECK_FALSE(known.on_member_list("10.0.0.2:7", all));
    }
    SECTION("a wiped replica, which knows the founders only, takes nothing away")
    {
        known.on_member_list("10.0.0.1:7", all);
        CHECK_FALSE(known.on_member_list("10.0.0.2:7", founders));
        CHECK(known.knows("10.0.0.4:7"));
    }
    SECTION("one that left the set is forgotten once no replica names it")
    {
        known.on_member_list("10.0.0.1:7", all);
        known.on_member_list("10.0.0.3:7", all);
        CHECK_FALSE(known.on_member_list("10.0.0.1:7", founders));
        CHECK(known.on_member_list("10.0.0.3:7", founders));
        CHECK_FALSE(known.knows("10.0.0.4:7"));
    }
    SECTION("the last word of a lost replica counts until another one speaks")
    {
        known.on_member_list("10.0.0.1:7", all);
        CHECK_FALSE(known.on_unreachable("10.0.0.1:7"));
        CHECK(known.knows("10.0.0.4:7"));
        known.on_member_list("10.0.0.2:7", founders);
        CHECK(known.on_unreachable("10.0.0.1:7"));
        CHECK_FALSE(known.knows("10.0.0.4:7"));
    }
    SECTION("names that aren't addresses are left out")
    {
        CHECK_FALSE(known.on_member_list("10.0.0.1:7", {"c1"}));
    }
}
