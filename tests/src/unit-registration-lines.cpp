#include "entry/registration_times.hpp"
#include "process/registration_lines.hpp"
#include "registration_reports.hpp"

#include <flaxtiller/registration/registry.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace flaxtiller;
using test::report_of;

namespace
{

time_point at_ms(double ms)
{
    return time_point(duration::from_ms(ms));
}

} // namespace

TEST_CASE("an entry tells how long it has known what it knows of a backend server", "[registration]")
{
    shell::registration_times times;
    CHECK_FALSE(times.age_of(backend_server_name("a"), at_ms(100)));
    times.on_changes({report_of("a", 1), report_of("b", 1)}, at_ms(100));
    times.on_changes({report_of("a", 2, registration_state::draining)}, at_ms(150));
    CHECK(times.age_of(backend_server_name("a"), at_ms(250)) == duration::from_ms(100));
    CHECK(times.age_of(backend_server_name("b"), at_ms(250)) == duration::from_ms(150));
    SECTION("and forgets those that are gone or lost")
    {
        times.on_changes(
            {report_of("a", 3, registration_state::gone), report_of("b", 3, registration_state::lost)},
            at_ms(300));
        CHECK_FALSE(times.age_of(backend_server_name("a"), at_ms(300)));
        CHECK_FALSE(times.age_of(backend_server_name("b"), at_ms(300)));
    }
}

TEST_CASE("a line on many changes names the backend servers that get no new work", "[registration]")
{
    CHECK(shell::unavailable_names({}).empty());
    CHECK(shell::unavailable_names({report_of("a", 1), report_of("b", 1, registration_state::draining),
                                    report_of("c", 1, registration_state::lost), report_of("d", 1)}) ==
          "b,c");
    SECTION("of many, a bounded number")
    {
        const std::vector<registration> many(10000, report_of("x", 1, registration_state::gone));
        const std::string names = shell::unavailable_names(many);
        CHECK(std::count(names.begin(), names.end(), 'x') == 256);
    }
}

TEST_CASE("a registry tells which reports it refused although they state something else", "[registration]")
{
    registry known;
    known.on_heartbeat(report_of("a", 5, registration_state::draining), at_ms(0));
    known.merge(report_of("a", 5, registration_state::draining), at_ms(1));
    known.merge(report_of("a", 4, registration_state::draining), at_ms(1));
    CHECK(known.take_refused().empty());
    known.on_heartbeat(report_of("a", 4), at_ms(2));
    CHECK(known.take_refused() ==
          std::vector<refused_report>{
              {backend_server_name("a"), registration_state::draining, 5, registration_state::ready, 4}});
    CHECK(known.take_refused().empty());
    SECTION("a bounded number between two looks, and all in the count")
    {
        constexpr int repetitions = 100;
        for (int i = 0; i < repetitions; ++i)
        {
            known.merge(report_of("a", 4), at_ms(3));
        }
        CHECK(known.take_refused().size() == registry::max_refused_reports);
        CHECK(known.refused_count() == 1 + repetitions);
    }
}
