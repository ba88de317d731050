#include "quorum_harness.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>

using flaxtiller::test::quorum_harness;

namespace
{

/// A fixed seed, so that every run gives the same result.
constexpr const char* rapidcheck_parameters = "seed=20261202 max_success=1500";
constexpr int steps = 1500;

bool check_schedules(const std::string& name, int replicas)
{
    ::setenv("RC_PARAMS", rapidcheck_parameters, 1);
    std::size_t committed = 0;
    std::size_t elections = 0;
    std::size_t repairs = 0;
    const bool passed =
        rc::check(name,
                  [&]
                  {
                      const auto seed =
                          *rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
                      quorum_harness harness(seed, replicas);
                      const std::string violation = harness.run(steps);
                      const std::string failure = violation.empty() ? harness.settle() : violation;
                      if (!failure.empty())
                      {
                          RC_FAIL("seed " + std::to_string(seed) + ": " + failure);
                      }
                      committed += harness.committed();
                      elections += harness.elections();
                      repairs += harness.repairs();
                  });
    // The schedules must contain enough of the events under test.
    INFO("committed " << committed << ", elections " << elections << ", repairs " << repairs);
    CHECK(committed > 10000);
    CHECK(elections > 3000);
    CHECK(repairs > 300);
    return passed;
}

} // namespace

TEST_CASE("the replicated log keeps its invariants under random schedules of faults", "[quorum][schedules]")
{
    SECTION("three replicas")
    {
        REQUIRE(check_schedules("three replicas", 3));
    }
    SECTION("five replicas")
    {
        REQUIRE(check_schedules("five replicas", 5));
    }
}
