// Compares the order of waiting subqueries with that of a slow reference, after random events.

#include "queue_reference.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <random>

using namespace flaxtiller;
using namespace flaxtiller::dispatch;
using flaxtiller::test::order_of;

namespace
{

constexpr time_point start_time{duration::from_ms(1000)};

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

    /// @return whether the queue finds the work with the earliest deadline
    bool earliest_deadline_matches() const
    {
        const auto earliest = std::min_element(m_items.begin(), m_items.end(),
                                               [](const auto& a, const auto& b)
                                               {
                                                   return std::pair(a.second.deadline, a.first) <
                                                          std::pair(b.second.deadline, b.first);
                                               });
        return earliest == m_items.end() || m_queue.next_to_expire() == earliest->first;
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
                                          RC_ASSERT(queue.earliest_deadline_matches());
                                          late += queue.late();
                                          compared += expected.size();
                                      }
                                  });
    CHECK(passed);
    // The events must include enough late work, and enough work that is not.
    CHECK(late * 10 > compared);
    CHECK(late * 10 < compared * 9);
}
