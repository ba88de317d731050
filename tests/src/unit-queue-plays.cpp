// Simulations of the queue order under load, in virtual time; docs/load.md states the bounds.

#include "queue_cost.hpp"
#include "queue_play.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <numeric>

using namespace flaxtiller;
using namespace flaxtiller::bench;

namespace
{

constexpr double demand_ratio = 1.6;

std::vector<request_stream> two_types(double urgent_share)
{
    const double capacity = queue_play::capacity_ms_per_s();
    request_stream urgent{"", 0, urgent_share * capacity / 5.0, 5.0, 80.0, 800.0};
    request_stream other{"", 1, (demand_ratio - urgent_share) * capacity / 15.0, 15.0, 200.0, 500.0};
    return {urgent, other};
}

constexpr int teams = 82;
constexpr double exponent = 1.2;
constexpr double demand_of_teams = 1.0 / 0.7;
constexpr double team_work_ms = 5.0;

/// @return the streams of the teams, of which the one with the rank @a heavy sends 8 times its usual rate
std::vector<request_stream> power_law_teams(int heavy)
{
    std::vector<double> sizes;
    for (int rank = 1; rank <= teams; ++rank)
    {
        sizes.push_back(std::pow(rank, -exponent) * (rank == heavy ? 8.0 : 1.0));
    }
    const double all = std::accumulate(sizes.begin(), sizes.end(), 0.0);
    const double per_s = queue_play::capacity_ms_per_s() / team_work_ms * demand_of_teams;
    std::vector<request_stream> streams;
    for (int rank = 1; rank <= teams; ++rank)
    {
        streams.push_back({"team-" + std::to_string(rank), 0,
                           per_s * sizes[static_cast<std::size_t>(rank - 1)] / all, team_work_ms, 80.0,
                           800.0});
    }
    return streams;
}

/// @return the max-min fair number of served requests of each stream
std::vector<double> fair_numbers(const std::vector<stream_result>& results, double capacity)
{
    std::vector<std::size_t> by_demand(results.size());
    std::iota(by_demand.begin(), by_demand.end(), 0);
    std::sort(by_demand.begin(), by_demand.end(),
              [&](std::size_t a, std::size_t b)
              {
                  return results[a].arrived < results[b].arrived;
              });
    std::vector<double> fair(results.size());
    for (std::size_t i = 0; i < by_demand.size(); ++i)
    {
        const double level = capacity / static_cast<double>(by_demand.size() - i);
        fair[by_demand[i]] = std::min(level, static_cast<double>(results[by_demand[i]].arrived));
        capacity -= fair[by_demand[i]];
    }
    return fair;
}

struct fairness
{
    /// The least ratio of what a team other than the heavy one got to its fair share.
    double least = 1.0;
    /// The mean ratio of the worst tenth of the teams, relative to the mean of all.
    double worst_tenth = 1.0;
};

fairness fairness_of(const std::vector<stream_result>& results, int heavy, double seconds)
{
    const double capacity = queue_play::capacity_ms_per_s() / team_work_ms * seconds;
    const std::vector<double> fair = fair_numbers(results, capacity);
    std::vector<double> ratios;
    fairness measured;
    for (std::size_t i = 0; i < results.size(); ++i)
    {
        const double ratio = fair[i] > 0.0 ? results[i].served / fair[i] : 1.0;
        ratios.push_back(ratio);
        if (static_cast<int>(i) + 1 != heavy)
        {
            measured.least = std::min(measured.least, ratio);
        }
    }
    std::sort(ratios.begin(), ratios.end());
    const auto tenth = static_cast<std::ptrdiff_t>(ratios.size() / 10);
    const double worst =
        std::accumulate(ratios.begin(), ratios.begin() + tenth, 0.0) / static_cast<double>(tenth);
    const double mean =
        std::accumulate(ratios.begin(), ratios.end(), 0.0) / static_cast<double>(ratios.size());
    measured.worst_tenth = worst / mean;
    return measured;
}

} // namespace

TEST_CASE("an urgent request type keeps its objective and starves no other", "[queue][policy]")
{
    // Guards against an order by deadline, under which the urgent type waits behind the other, and against
    // less urgent work that is not served while work past its objective is.
    const double urgent_share = GENERATE(0.5, 0.6, 0.7);
    const std::uint64_t seed = GENERATE(1, 2);
    constexpr double from_s = 2.0;
    constexpr double until_s = 10.0;
    const std::vector<request_stream> streams = two_types(urgent_share);
    queue_play alone({streams[0]}, true, seed);
    alone.run(from_s, until_s);
    queue_play mixed(streams, true, seed);
    mixed.run(from_s, until_s);
    const stream_result& urgent = mixed.results[0];
    const stream_result& other = mixed.results[1];
    const double mean_share =
        static_cast<double>(urgent.served + other.served) / (urgent.arrived + other.arrived);
    CAPTURE(urgent_share, seed, urgent.in_objective_share(), alone.results[0].in_objective_share(),
            other.served_share(), other.in_objective_share(), mean_share, other.longest_gap_ms);
    CHECK(urgent.in_objective_share() >= 0.98 * alone.results[0].in_objective_share());
    CHECK(other.served_share() >= 0.25 * mean_share);
    CHECK(other.longest_gap_ms <= 1000.0);
    CHECK(mixed.late_before_on_time == 0);
    CHECK(mixed.idle_slots == 0);

    // The play must be one that the order by deadline fails.
    queue_play by_deadline(streams, false, seed);
    by_deadline.run(from_s, until_s);
    const stream_result& before = by_deadline.results[0];
    CAPTURE(before.in_objective_share(), by_deadline.results[1].served_share(),
            by_deadline.results[1].in_objective_share());
    CHECK(before.in_objective_share() < 0.98 * alone.results[0].in_objective_share());
}

TEST_CASE("an urgent request type that needs all slots leaves the other its share", "[queue][policy]")
{
    // Guards against absolute priorities, under which the less urgent type is never served.
    queue_play mixed(two_types(1.2), true, 3);
    mixed.run(2.0, 10.0);
    const stream_result& urgent = mixed.results[0];
    const stream_result& other = mixed.results[1];
    const double mean_share =
        static_cast<double>(urgent.served + other.served) / (urgent.arrived + other.arrived);
    CAPTURE(urgent.served_share(), other.served_share(), mean_share, other.longest_gap_ms);
    CHECK(other.served_share() >= 0.25 * mean_share);
    CHECK(other.longest_gap_ms <= 1000.0);
    CHECK(mixed.late_before_on_time == 0);
    CHECK(mixed.idle_slots == 0);
}

TEST_CASE("a team that sends too much takes nothing from the shares of the others", "[queue][policy]")
{
    // Guards against shares by number of requests sent, also while the queue has no history.
    const int heavy = GENERATE(1, 8, 40);
    const bool afresh = GENERATE(true, false);
    const std::uint64_t seed = GENERATE(11, 12, 13);
    const double from_s = afresh ? 0.0 : 5.0;
    constexpr double window_s = 5.0;
    const std::vector<request_stream> streams = power_law_teams(heavy);
    queue_play fair(streams, true, seed);
    fair.run(from_s, from_s + window_s);
    const fairness measured = fairness_of(fair.results, heavy, window_s);
    queue_play by_deadline(streams, false, seed);
    by_deadline.run(from_s, from_s + window_s);
    const fairness before = fairness_of(by_deadline.results, heavy, window_s);
    CAPTURE(heavy, afresh, seed, measured.least, measured.worst_tenth, before.least, before.worst_tenth);
    CHECK(measured.least >= 0.95);
    CHECK(measured.worst_tenth >= 0.9);
    CHECK(fair.idle_slots == 0);
    CHECK(fair.late_before_on_time == 0);
    CHECK(before.least < 0.95);
}

TEST_CASE("the cost of an event of the queue is bounded", "[queue][policy]")
{
    // Guards against work in proportion to the number of waiting subqueries. The limit is ten times the one
    // on an idle machine, as others use the processor during tests.
    constexpr double limit_us = 20.0;
    const double small_us = queue_event_us(100, 100);
    const double large_us = queue_event_us(1000, 100);
    const double huge_us = queue_event_us(20000, 100);
    CAPTURE(small_us, large_us, huge_us);
    CHECK(large_us < limit_us);
    // 200 times as much waiting work; linear cost would take about 200 times as long.
    CHECK(huge_us < small_us * 20.0);
}
