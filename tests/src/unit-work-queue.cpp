// The order of waiting subqueries: objectives, weights of priorities, shares of teams, and lateness.

#include "queue_reference.hpp"

#include <flaxtiller/dispatch/work_queue.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <random>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;

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

std::vector<subquery_id> order_of(const work_queue& queue)
{
    std::vector<subquery_id> ids;
    work_queue::scan scan(queue);
    for (subquery_id id = scan.next(); id != 0; id = scan.next())
    {
        ids.push_back(id);
    }
    return ids;
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

namespace
{

/// A queue and its slow reference, which get the same random events.
class compared_queue
{
  public:
    explicit compared_queue(std::uint64_t seed) : m_random(seed)
    {
    }

    void step()
    {
        m_now = m_now + duration::from_ms(static_cast<double>(below(4)));
        switch (m_items.empty() ? 0 : below(6))
        {
        case 0:
        case 1:
        case 2:
            add();
            break;
        case 3:
            start(m_queue.first());
            break;
        case 4:
            remove(any());
            break;
        default:
            // A later entry is started where the first one is not eligible for the free backend server.
            below(2) == 0 ? start(any()) : set_priority(any(), below(4));
            break;
        }
    }

    /// @return the order by the reference
    std::vector<subquery_id> expected()
    {
        m_queue.advance(m_now);
        make_late();
        std::vector<subquery_id> ids = m_on_time.ids();
        const std::vector<subquery_id> late = m_late.ids();
        ids.insert(ids.end(), late.begin(), late.end());
        return ids;
    }

    std::vector<subquery_id> actual() const
    {
        return order_of(m_queue);
    }

    bool first_matches(const std::vector<subquery_id>& ids) const
    {
        return ids.empty() ? m_queue.empty() : m_queue.first() == ids.front();
    }

    std::size_t late() const
    {
        return m_late.items.size();
    }

  private:
    int below(int bound)
    {
        return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound));
    }

    subquery_id any()
    {
        return std::next(m_items.begin(), below(static_cast<int>(m_items.size())))->first;
    }

    void make_late()
    {
        for (auto& [id, item] : m_items)
        {
            if (m_now > item.late_at && is_on_time(id))
            {
                m_on_time.erase(id);
                m_late.add(item);
            }
        }
    }

    bool is_on_time(subquery_id id) const
    {
        return std::any_of(m_on_time.items.begin(), m_on_time.items.end(),
                           [&](const waiting_subquery& item)
                           {
                               return item.id == id;
                           });
    }

    void add()
    {
        waiting_subquery item;
        item.id = m_next++;
        item.priority = below(4);
        item.team = team_name(std::string(1, static_cast<char>('a' + below(5))));
        item.objective_at = m_now + duration::from_ms(static_cast<double>(below(60)));
        item.late_at = item.objective_at - duration::from_ms(static_cast<double>(below(10)));
        item.deadline = item.objective_at + duration::from_ms(static_cast<double>(below(3)));
        item.cost = 0.5 * (1 + below(6));
        m_queue.add(item, false, m_now);
        make_late();
        m_items.emplace(item.id, item);
        (m_now > item.late_at ? m_late : m_on_time).add(item);
    }

    void start(subquery_id id)
    {
        (is_on_time(id) ? m_on_time : m_late).charge(m_items.at(id));
        m_queue.start(id);
        forget(id);
    }

    void remove(subquery_id id)
    {
        m_queue.erase(id);
        forget(id);
    }

    void set_priority(subquery_id id, int priority)
    {
        test::reference_order& order = is_on_time(id) ? m_on_time : m_late;
        waiting_subquery& item = m_items.at(id);
        m_queue.set_priority(id, priority);
        order.erase(id);
        item.priority = priority;
        order.add(item);
    }

    void forget(subquery_id id)
    {
        (is_on_time(id) ? m_on_time : m_late).erase(id);
        m_items.erase(id);
    }

    std::mt19937_64 m_random;
    time_point m_now = start_time;
    subquery_id m_next = 1;
    std::map<subquery_id, waiting_subquery> m_items;
    work_queue m_queue{work_queue::order::by_priority};
    test::reference_order m_on_time;
    test::reference_order m_late;
};

} // namespace

TEST_CASE("the order of waiting work is that of a slow reference", "[queue]")
{
    // Guards against errors of the incremental state: lost entries, forgotten service, wrong virtual times.
    constexpr int steps = 120;
    ::setenv("RC_PARAMS", "seed=20261203 max_success=150", 1);
    std::size_t late = 0;
    std::size_t compared = 0;
    const bool passed = rc::check("the order is that of the reference",
                                  [&]
                                  {
                                      const auto seed = *rc::gen::noShrink(
                                          rc::gen::resize(100, rc::gen::arbitrary<std::uint64_t>()));
                                      compared_queue queue(seed);
                                      for (int i = 0; i < steps; ++i)
                                      {
                                          queue.step();
                                          const std::vector<subquery_id> expected = queue.expected();
                                          RC_ASSERT(queue.actual() == expected);
                                          RC_ASSERT(queue.first_matches(expected));
                                          late += queue.late();
                                          compared += expected.size();
                                      }
                                  });
    CHECK(passed);
    // The events must include enough late work, and enough work that is not.
    CHECK(late * 10 > compared);
    CHECK(late * 10 < compared * 9);
}
