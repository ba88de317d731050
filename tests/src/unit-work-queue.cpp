// The order of waiting subqueries: objectives, weights of priorities, shares of teams, and lateness.

#include "queue_reference.hpp"

#include <flaxtiller/dispatch/work_queue.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::order_of;

namespace
{

constexpr time_point start_time{duration::from_ms(1000)};

waiting_subquery item_of(subquery_id id, int priority, const std::string& team = {},
                         double objective_ms = 100.0)
{
    waiting_subquery item;
    item.id = id;
    item.priority = priority;
    item.team = team_name(team);
    item.objective_at = start_time + duration::from_ms(objective_ms);
    item.late_at = item.objective_at - duration::from_ms(10);
    item.deadline = start_time + duration::from_ms(1000);
    return item;
}

/// Starts @a count subqueries and counts them by the name of a group.
template <typename GroupOf>
auto start_and_count(work_queue& queue, int count, GroupOf group_of)
{
    std::map<decltype(group_of(subquery_id())), int> started;
    for (int i = 0; i < count && !queue.empty(); ++i)
    {
        const subquery_id id = queue.first();
        ++started[group_of(id)];
        queue.start(id);
    }
    return started;
}

} // namespace

TEST_CASE("waiting work by deadline", "[queue]")
{
    // Guards against a change of order while the switch is off.
    work_queue queue(work_queue::order::by_deadline);
    const auto add = [&](subquery_id id, int priority, double deadline_ms, bool is_replacement = false)
    {
        waiting_subquery item = item_of(id, priority, "t" + std::to_string(id), 1.0);
        item.deadline = start_time + duration::from_ms(deadline_ms);
        queue.add(item, is_replacement, start_time + duration::from_ms(50));
    };
    add(1, 0, 300);
    add(2, 5, 200);
    add(3, 9, 200);
    add(4, 9, 900, true);
    CHECK(order_of(queue) == std::vector<subquery_id>{4, 2, 3, 1});
    CHECK(queue.next_to_expire() == 4);
    CHECK(queue.cost_before(9) == 4.0);
    queue.start(2);
    CHECK(order_of(queue) == std::vector<subquery_id>{4, 3, 1});
    CHECK(queue.pairs() == 0);
}

TEST_CASE("waiting work by priority", "[queue]")
{
    work_queue queue(work_queue::order::by_priority);
    time_point now = start_time;
    const auto add = [&](const waiting_subquery& item)
    {
        queue.add(item, false, now);
    };

    SECTION("replacements of overdue attempts are first")
    {
        // Guards against a replacement that waits behind new work, after its first attempt was cancelled.
        add(item_of(1, 0));
        queue.add(item_of(2, 7, "a", -50.0), true, now);
        CHECK(order_of(queue) == std::vector<subquery_id>{2, 1});
    }
    SECTION("a more urgent priority gets four times the slot time, the least urgent one keeps a share")
    {
        // Guards against absolute priorities, which starve the less urgent work, and equal ones.
        for (subquery_id id = 1; id <= 3000; ++id)
        {
            add(item_of(id, static_cast<int>(id % 3) * 100));
        }
        const auto started = start_and_count(queue, 1100,
                                             [](subquery_id id)
                                             {
                                                 return id % 3;
                                             });
        CHECK(started.at(0) == Approx(800).margin(2));
        CHECK(started.at(1) == Approx(200).margin(2));
        CHECK(started.at(2) == Approx(100).margin(2));
    }
    SECTION("a priority that waits alone gets all slots, and no arrears from that time")
    {
        // Guards against slots that are reserved for absent work, and against credit for the time of absence.
        for (subquery_id id = 1; id <= 200; ++id)
        {
            add(item_of(id, 1));
        }
        start_and_count(queue, 100,
                        [](subquery_id)
                        {
                            return 0;
                        });
        for (subquery_id id = 1001; id <= 1200; ++id)
        {
            add(item_of(id, 0));
        }
        const auto started = start_and_count(queue, 100,
                                             [](subquery_id id)
                                             {
                                                 return id > 1000;
                                             });
        CHECK(started.at(false) == Approx(20).margin(1));
    }
    SECTION("teams share by slot time, not by the number of requests")
    {
        // Guards against a team that gets three times its share because its requests are three times longer.
        for (subquery_id id = 1; id <= 400; ++id)
        {
            waiting_subquery item = item_of(id, 0, id % 2 == 0 ? "long" : "short");
            item.cost = id % 2 == 0 ? 3.0 : 1.0;
            add(item);
        }
        const auto started = start_and_count(queue, 100,
                                             [](subquery_id id)
                                             {
                                                 return id % 2 == 0;
                                             });
        CHECK(started.at(true) == Approx(25).margin(1));
    }
    SECTION("a team that never has two requests waiting gets no more than its share")
    {
        // Guards against service that is forgotten as soon as a team has no work waiting.
        for (subquery_id id = 1; id <= 1000; ++id)
        {
            add(item_of(id, 0, "many"));
        }
        subquery_id next = 1000;
        add(item_of(++next, 0, "one"));
        int of_one = 0;
        for (int i = 0; i < 1000; ++i)
        {
            const subquery_id id = queue.first();
            queue.start(id);
            if (id > 1000)
            {
                ++of_one;
                add(item_of(++next, 0, "one"));
            }
        }
        CHECK(of_one == Approx(500).margin(1 + fair_order::team_credit / 2.0));
    }
    SECTION("within a team the order is by objective, deadline and id")
    {
        waiting_subquery short_deadline = item_of(4, 0, "a", 80.0);
        short_deadline.deadline = start_time + duration::from_ms(500);
        add(item_of(1, 0, "a", 90.0));
        add(item_of(3, 0, "a", 80.0));
        add(item_of(2, 0, "a", 80.0));
        add(short_deadline);
        CHECK(order_of(queue) == std::vector<subquery_id>{4, 2, 3, 1});
    }
    SECTION("work becomes late as time passes, without an event of its own")
    {
        // Guards against work past its objective that keeps its place, and against lateness one moment early.
        add(item_of(1, 0, "a", 50.0));
        add(item_of(2, 7, "b", 200.0));
        now = start_time + duration::from_ms(40);
        queue.advance(now);
        CHECK(order_of(queue) == std::vector<subquery_id>{1, 2});
        now = now + duration::from_us(1);
        queue.advance(now);
        CHECK(order_of(queue) == std::vector<subquery_id>{2, 1});
        add(item_of(3, 0, "c", 45.0));
        CHECK(queue.size_on_time() == 1);
        CHECK(queue.cost_on_time() == 1.0);
        CHECK(queue.cost() == 3.0);
    }
    SECTION("the earliest deadline is found wherever its work is")
    {
        // Guards against work that is kept beyond its deadline because it is not first in the order.
        add(item_of(1, 0));
        waiting_subquery near = item_of(2, 9, "z", 500.0);
        near.deadline = start_time + duration::from_ms(200);
        add(near);
        CHECK(queue.first() == 1);
        CHECK(queue.next_to_expire() == 2);
        queue.erase(2);
        CHECK(queue.next_to_expire() == 1);
    }
    SECTION("the wait before a new subquery depends on its priority and team")
    {
        // Guards against the refusal of urgent work, or of small teams, because others have work waiting.
        for (subquery_id id = 1; id <= 100; ++id)
        {
            add(item_of(id, 1, "large"));
        }
        CHECK(queue.cost_before(0) == Approx(0.25));
        CHECK(queue.cost_before(1) == Approx(100.0));
        CHECK(queue.cost_before(2) == Approx(4.0));
        CHECK(queue.cost_before(1, team_name("large")) == Approx(100.0));
        CHECK(queue.cost_before(1, team_name("small")) == Approx(1.0));
    }
    SECTION("a changed priority moves waiting work, on time or late")
    {
        // Guards against work that keeps the priority of an earlier revision.
        add(item_of(1, 5));
        add(item_of(2, 3));
        queue.set_priority(1, 0);
        CHECK(order_of(queue) == std::vector<subquery_id>{1, 2});
        now = start_time + duration::from_ms(300);
        queue.advance(now);
        queue.set_priority(2, -1);
        CHECK(order_of(queue) == std::vector<subquery_id>{2, 1});
        queue.set_priority(77, 0);
        CHECK(queue.size() == 2);
    }
    SECTION("state is kept for pairs that wait, and little beyond that")
    {
        // Guards against state that grows with the number of teams that ever sent a request.
        add(item_of(1, 0, "steady"));
        for (subquery_id id = 100; id < 1100; ++id)
        {
            add(item_of(id, 0, "t" + std::to_string(id)));
            add(item_of(id + 10000, 0, "steady"));
            queue.start(queue.first());
            queue.start(queue.first());
        }
        CHECK(queue.pairs() < 30);
        while (!queue.empty())
        {
            queue.erase(queue.first());
        }
        CHECK(queue.pairs() == 0);
        queue.erase(1);
        queue.start(1);
        CHECK(queue.empty());
    }
    SECTION("counts are by priority and team")
    {
        add(item_of(1, 0, "a"));
        add(item_of(2, 0, "a", 1.0));
        add(item_of(3, 1, "a"));
        waiting_counts counts;
        queue.add_counts(counts);
        CHECK(counts == waiting_counts{{{0, team_name("a")}, {1, 1}}, {{1, team_name("a")}, {1, 0}}});
    }
}
