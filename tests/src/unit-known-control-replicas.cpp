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

TEST_CASE("an entry merges the member lists of all reachable control replicas", "[entry]")
{
    known_control_replicas known(seeds());
    CHECK(known.addresses().size() == 3);

    SECTION("a member list adds replicas that the settings don't name")
    {
        CHECK(known.on_member_list("10.0.0.1:7", all));
        CHECK(known.knows("10.0.0.4:7"));
        CHECK_FALSE(known.on_member_list("10.0.0.2:7", all));
    }
    SECTION("the list of a replica that lost its data, with the founding members only, removes no replica")
    {
        known.on_member_list("10.0.0.1:7", all);
        CHECK_FALSE(known.on_member_list("10.0.0.2:7", founders));
        CHECK(known.knows("10.0.0.4:7"));
    }
    SECTION("a removed replica is forgotten once no member list names it")
    {
        known.on_member_list("10.0.0.1:7", all);
        known.on_member_list("10.0.0.3:7", all);
        CHECK_FALSE(known.on_member_list("10.0.0.1:7", founders));
        CHECK(known.on_member_list("10.0.0.3:7", founders));
        CHECK_FALSE(known.knows("10.0.0.4:7"));
    }
    SECTION("the list of an unreachable replica stays in use until another replica sends its list")
    {
        known.on_member_list("10.0.0.1:7", all);
        CHECK_FALSE(known.on_unreachable("10.0.0.1:7"));
        CHECK(known.knows("10.0.0.4:7"));
        known.on_member_list("10.0.0.2:7", founders);
        CHECK(known.on_unreachable("10.0.0.1:7"));
        CHECK_FALSE(known.knows("10.0.0.4:7"));
    }
    SECTION("a confirmed entry discards the lists of unreachable replicas, also the one that was kept as the "
            "only one")
    {
        // Guards against an entry that dials replaced replicas for as long as it runs.
        const std::vector<std::string> replaced{"10.0.0.1:7", "10.0.0.4:7"};
        const std::vector<std::string> present{"10.0.0.5:7", "10.0.0.6:7"};
        known.on_member_list("10.0.0.4:7", replaced);
        CHECK_FALSE(known.on_unreachable("10.0.0.4:7"));
        CHECK_FALSE(known.discard_lists_except({}));
        CHECK(known.knows("10.0.0.4:7"));
        known.on_member_list("10.0.0.5:7", present);
        CHECK(known.knows("10.0.0.4:7"));
        CHECK(known.discard_lists_except({"10.0.0.5:7", "entry"}));
        CHECK_FALSE(known.knows("10.0.0.4:7"));
        CHECK(known.knows("10.0.0.6:7"));
        CHECK_FALSE(known.discard_lists_except({"10.0.0.5:7"}));
    }
    SECTION("addresses of settings that were read again replace those of the earlier ones")
    {
        known.on_member_list("10.0.0.1:7", {"10.0.0.2:7"});
        CHECK(known.set_configured({{"10.0.0.9:7", *parse_address("10.0.0.9:7")}}));
        CHECK(known.knows("10.0.0.9:7"));
        CHECK(known.knows("10.0.0.2:7"));
        CHECK_FALSE(known.knows("10.0.0.1:7"));
        CHECK_FALSE(known.knows("10.0.0.3:7"));
        CHECK_FALSE(known.set_configured({{"10.0.0.9:7", *parse_address("10.0.0.9:7")}}));
    }
    SECTION("names that aren't addresses are ignored")
    {
        CHECK_FALSE(known.on_member_list("10.0.0.1:7", {"c1"}));
    }
    SECTION("replicas that another entry named are known until they are on a member list or the search ends")
    {
        known.on_member_list("10.0.0.1:7", founders);
        CHECK(known.on_named_by_entry({"10.0.0.4:7", "10.0.0.5:7"}));
        CHECK(known.knows("10.0.0.5:7"));
        CHECK(known.on_member_lists() == founders);
        known.on_member_list("10.0.0.4:7", all);
        CHECK(known.forget_named_by_entries());
        CHECK(known.knows("10.0.0.4:7"));
        CHECK_FALSE(known.knows("10.0.0.5:7"));
    }
}
