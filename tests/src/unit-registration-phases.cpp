#include "registration_play.hpp"

#include <catch2/catch.hpp>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

/// The agreed time: a backend server that announced to leave receives nothing new after it.
constexpr duration drain_bound = duration::from_ms(3000);
/// The time until all backend servers are registered and all processes have exchanged their first receipts.
constexpr time_point settled_at{duration::from_ms(8000)};

struct failures
{
    int plays = 0;
    int late_plays = 0;
    int late_pairs = 0;
    duration worst{};
};

/// Has @a leaving backend servers leave at each moment of one interval between two exchanges of receipts.
failures leave_at_each_phase(registration_play_size size, int leaving, duration step, std::uint64_t seed)
{
    registration_play all(size, seed);
    all.run_until(settled_at);
    REQUIRE(all.all_agree());
    failures found;
    for (const time_point end = all.now() + replicated_registry::max_exchange_interval; all.now() < end;
         all.run_until(all.now() + step))
    {
        registration_play play = all;
        play.leave(leaving);
        play.run_until_known(drain_bound + duration::from_ms(registration_play::max_link_delay_ms + 20.0));
        const registration_play::lateness late = play.lateness_of(drain_bound);
        ++found.plays;
        found.late_plays += late.late_pairs > 0 ? 1 : 0;
        found.late_pairs += late.late_pairs;
        found.worst = std::max(found.worst, late.worst);
    }
    return found;
}

} // namespace

// Guards against entries that send requests to leaving backend servers, as their leaving came just before an
// exchange.
TEST_CASE("each entry learns in time that backend servers leave, at whatever moment they say so",
          "[registration_phases]")
{
    const auto check = [](registration_play_size size, int leaving, double step_ms)
    {
        const failures found = leave_at_each_phase(size, leaving, duration::from_ms(step_ms), 1);
        INFO(size.entries << " entries, " << leaving << " of " << size.servers << " leave; late plays: "
                          << found.late_plays << " of " << found.plays << ", late pairs: " << found.late_pairs
                          << ", worst: " << found.worst.ms() << " ms");
        CHECK(found.plays > 0);
        CHECK(found.late_plays == 0);
    };
    SECTION("50 of 690 with 79 entries")
    {
        check({6, 79, 690}, 50, 5.0);
    }
    SECTION("180 of 690 with 79 entries")
    {
        check({6, 79, 690}, 180, 5.0);
    }
    SECTION("a single one with 79 entries")
    {
        check({6, 79, 690}, 1, 5.0);
    }
    SECTION("180 of 690 with 24 entries")
    {
        check({6, 24, 690}, 180, 3.0);
    }
    SECTION("20 of 690 with 495 entries")
    {
        check({6, 495, 690}, 20, 25.0);
    }
}
