#pragma once

#include <flaxtiller/dispatch/work_queue.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <string>

namespace flaxtiller::bench
{

/// @brief Measures the processor time of the events of a queue with work of many teams.
/// @return the time per event in microseconds: the least of several rounds, as others use the processor, too.
/// An event is the arrival of a subquery, or the choice and start of one
inline double queue_event_us(std::size_t waiting, int teams, int rounds = 20)
{
    constexpr int events = 2000;
    std::mt19937_64 random(7);
    dispatch::work_queue queue(dispatch::work_queue::order::by_priority);
    time_point now;
    dispatch::subquery_id next = 1;
    const auto add = [&]
    {
        dispatch::waiting_subquery item;
        item.id = next++;
        item.priority = static_cast<int>(random() % 3);
        item.team = team_name("team-" + std::to_string(random() % static_cast<std::uint64_t>(teams)));
        item.objective_at = now + duration::from_us(80000 + static_cast<std::int64_t>(random() % 120000));
        item.late_at = item.objective_at - duration::from_ms(5);
        item.deadline = now + duration::from_ms(800);
        queue.add(item, false, now);
    };
    while (queue.size() < waiting)
    {
        add();
    }
    double least_us = std::numeric_limits<double>::max();
    for (int round = 0; round < rounds; ++round)
    {
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < events / 2; ++i)
        {
            now = now + duration::from_us(100);
            add();
            queue.advance(now);
            dispatch::work_queue::scan in_order(queue);
            queue.start(in_order.next());
        }
        const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
        least_us = std::min(least_us, took.count() / events);
    }
    return least_us;
}

} // namespace flaxtiller::bench
