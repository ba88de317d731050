#include "process/settings_reload.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::shell;

namespace
{

using cause = settings_reload::cause;

const std::string instance = R"({"instance": {"name": "e"}, "threads": 4,
    "listen": {"routed": "10.0.0.9:1", "link": "10.0.0.9:2", "operators": "10.0.0.9:3"},)";

std::string with_seeds(const std::string& seeds, const std::string& more = "")
{
    return instance + more + R"("membership": {"seeds": [)" + seeds + "]}}";
}

std::vector<named_address> read_replicas(const std::string& text, findings& found)
{
    return parse_entry_settings(text, "entry.json", found).control;
}

} // namespace

// Guards against a process that asks only the control replicas of its start, and against a faulty file that
// takes effect.
TEST_CASE("settings that are read again change the addresses of control replicas only", "[settings]")
{
    const std::string at_start = with_seeds(R"("10.0.0.1:7", "10.0.0.2:7")");
    const std::string later = with_seeds(R"("10.0.0.3:7")");
    findings none;
    settings_reload reload(at_start, read_replicas(at_start, none), read_replicas);
    REQUIRE_FALSE(none.has_errors());
    const findings no_findings;

    SECTION("without a signal, an unchanged file is not reported")
    {
        const auto result = reload.on_read(cause::lost_contact, at_start, no_findings);
        CHECK_FALSE(result.is_reported);
        CHECK_FALSE(result.replicas);
    }
    SECTION("a signal is answered also if the file is unchanged")
    {
        const auto result = reload.on_read(cause::signal, at_start, no_findings);
        CHECK(result.is_reported);
        CHECK_FALSE(result.is_refused);
        CHECK_FALSE(result.replicas);
        CHECK(result.ignored.empty());
    }
    SECTION("other addresses take effect once")
    {
        for (const cause why : {cause::signal, cause::lost_contact})
        {
            settings_reload each = reload;
            const auto result = each.on_read(why, later, no_findings);
            REQUIRE(result.replicas);
            REQUIRE(result.replicas->size() == 1);
            CHECK(result.replicas->front().name == "10.0.0.3:7");
            CHECK(result.is_reported);
            CHECK(result.ignored.empty());
            CHECK_FALSE(each.on_read(cause::lost_contact, later, no_findings).is_reported);
            CHECK(each.on_read(why, at_start, no_findings).replicas->size() == 2);
        }
    }
    SECTION("other keys that differ are named and ignored")
    {
        const auto result = reload.on_read(
            cause::lost_contact, with_seeds(R"("10.0.0.1:7", "10.0.0.2:7")", R"("report_every_ms": 9,)"),
            no_findings);
        CHECK_FALSE(result.is_refused);
        CHECK_FALSE(result.replicas);
        CHECK(result.ignored == std::vector<std::string>{"report_every_ms"});
    }
    SECTION("a file that is written in part is refused and reported once")
    {
        const std::string part = later.substr(0, later.size() / 2);
        const auto result = reload.on_read(cause::lost_contact, part, no_findings);
        CHECK(result.is_refused);
        CHECK(result.is_reported);
        CHECK_FALSE(result.replicas);
        CHECK_FALSE(reload.on_read(cause::lost_contact, part, no_findings).is_reported);
        CHECK(reload.on_read(cause::lost_contact, later, no_findings).replicas);
    }
    SECTION("a file that can't be read is refused and reported once")
    {
        findings unreadable;
        unreadable.error(errc::document_unreadable, "entry.json", "can't be opened");
        const auto result = reload.on_read(cause::lost_contact, "", unreadable);
        CHECK(result.is_refused);
        CHECK(result.is_reported);
        CHECK_FALSE(reload.on_read(cause::lost_contact, "", unreadable).is_reported);
        CHECK(reload.on_read(cause::signal, "", unreadable).is_reported);
        CHECK(reload.on_read(cause::lost_contact, later, no_findings).replicas);
    }
    SECTION("a file with an unknown key or a wrong address is refused")
    {
        CHECK(reload.on_read(cause::signal, with_seeds(R"("10.0.0.3:7")", R"("unknown": 1,)"), no_findings)
                  .is_refused);
        CHECK(reload.on_read(cause::signal, with_seeds(R"("10.0.0.3")"), no_findings).is_refused);
    }
    SECTION("a file that names no control replica is refused, since the process would ask nobody")
    {
        const auto result = reload.on_read(cause::signal, with_seeds(""), no_findings);
        CHECK(result.is_refused);
        CHECK_FALSE(result.replicas);
    }
}

// Guards against an exception, which would end a running process whose settings file was replaced by a
// folder.
TEST_CASE("a folder in the place of the settings file is a finding", "[settings]")
{
    findings found;
    CHECK(read_file("/", found).empty());
    CHECK(found.has_errors());
}
