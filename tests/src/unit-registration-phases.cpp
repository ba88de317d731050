#include "registration_play.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace flaxtiller;
using namespace flaxtiller::test;

namespace
{

/// The agreed time: a backend server that announced to leave receives nothing new after it.
constexpr duration drain_bound = duration::from_ms(3000);
/// The time until the other processes notice that a replica ended.
constexpr duration end_noticed_after = duration::from_ms(1000);
/// The time until all backend servers are registered and all processes have exchanged their first receipts.
constexpr time_point settled_at{duration::from_ms(8000)};

/// @return the times that follow from the agreed time
digest_timing agreed_timing()
{
    distribution::change_bounds bounds;
    bounds.drain = drain_bound;
    return digest_timing_within(bounds);
}

/// @return a play in which all processes agree on the backend servers
registration_play settled_play(registration_play_size size, std::uint64_t seed, digest_timing timing = {})
{
    registration_play play(size, seed, timing);
    play.run_until(settled_at);
    REQUIRE(play.all_agree());
    return play;
}

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
    registration_play all = settled_play(size, seed);
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

// Guards against requests to backend servers that left just before an exchange of receipts.
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

// Guards against requests to backend servers whose leaving was lost with a link.
TEST_CASE("each entry learns in time that backend servers leave, although a link ends meanwhile",
          "[registration_phases]")
{
    const registration_play_size size{6, 24, 240};
    registration_play all = settled_play(size, 2, agreed_timing());
    constexpr int plays = 200;
    for (int number = 0; number < plays; ++number)
    {
        std::mt19937_64 random(static_cast<std::uint64_t>(number));
        const auto draw = [&](int low, int high)
        {
            return std::uniform_int_distribution<int>(low, high)(random);
        };
        all.run_until(all.now() + duration::from_ms(draw(1, 40)));
        registration_play play = all;
        const int replica = draw(0, size.replicas - 1);
        const std::string name = registration_play::replica_name(replica);
        const bool between_replicas = draw(0, 1) == 1;
        const std::string peer =
            between_replicas
                ? registration_play::replica_name((replica + draw(1, size.replicas - 1)) % size.replicas)
                : registration_play::entry_name(draw(0, size.entries - 1));
        const int lost_after_ms = draw(-200, 200);
        const duration lost_for = duration::from_ms(draw(20, 1500));
        if (lost_after_ms < 0)
        {
            play.lose_link(name, peer);
            play.run_until(play.now() + duration::from_ms(-lost_after_ms));
            play.leave(60);
        }
        else
        {
            play.leave(60);
            play.run_until(play.now() + duration::from_ms(lost_after_ms));
            play.lose_link(name, peer);
        }
        play.run_until(play.now() + lost_for);
        play.restore_link(name, peer);
        play.run_until_known(drain_bound * 2.0);
        const registration_play::lateness late = play.lateness_of(drain_bound);
        INFO("play " << number << ": " << name << " to " << peer << ", after " << lost_after_ms << " ms for "
                     << lost_for.ms() << " ms; worst: " << late.worst.ms() << " ms");
        CHECK(late.late_pairs == 0);
    }
}

// Guards against confirmations of which only a replica knew that ended.
TEST_CASE("each entry learns in time that backend servers leave, although the replica that confirmed it ends",
          "[registration_phases]")
{
    const registration_play_size size{6, 24, 240};
    registration_play all = settled_play(size, 3, agreed_timing());
    for (int number = 0; number < 200; ++number)
    {
        all.run_until(all.now() + duration::from_ms(17));
        registration_play play = all;
        play.leave(60);
        play.run_until(play.now() + duration::from_ms(number));
        const int ended = 1 + number % (size.replicas - 1);
        play.end_replica(ended);
        play.run_until(play.now() + end_noticed_after);
        play.notice_end(ended);
        play.run_until_known(drain_bound * 2.0);
        const registration_play::lateness late = play.lateness_of(drain_bound);
        INFO("the replica ends after " << number << " ms; worst: " << late.worst.ms() << " ms");
        CHECK(late.late_pairs == 0);
    }
}
