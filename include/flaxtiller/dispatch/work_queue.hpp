#pragma once

#include <flaxtiller/dispatch/fair_order.hpp>
#include <flaxtiller/dispatch/waiting_count.hpp>
#include <flaxtiller/dispatch/waiting_subquery.hpp>

#include <cstddef>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace flaxtiller::dispatch
{

/// @brief The subqueries of one shard that wait for a slot.
///
/// Replacements of overdue attempts are first. The other subqueries are ordered by deadline and id or, by
/// priority, as follows: work that can still meet its objective in a @ref fair_order, then work that no
/// longer can, in another one.
class work_queue
{
  public:
    enum class order
    {
        by_deadline,
        by_priority,
    };

    /// @brief A position that can be compared with positions in the queues of other shards; the least one is
    /// served first.
    using position = std::tuple<int, int, time_point>;

    explicit work_queue(order chosen) : m_order(chosen)
    {
    }

    /// @brief Copies the waiting work. The service that pairs of priority and team received is not copied.
    work_queue(const work_queue& other);
    work_queue(work_queue&&) noexcept = default;
    work_queue& operator=(work_queue other) noexcept;
    ~work_queue() = default;

    /// @brief Adds a subquery that is not in the queue.
    /// @param is_replacement whether the subquery replaces an overdue attempt
    void add(const waiting_subquery& item, bool is_replacement, time_point now);

    /// @brief Removes a subquery that is no longer to be run. An unknown one is ignored.
    void erase(subquery_id id);

    /// @brief Removes a subquery that is started, and counts its expected slot time for its priority and
    /// team.
    void start(subquery_id id);

    /// @brief Changes the priority of a subquery. An unknown one is ignored.
    void set_priority(subquery_id id, int priority);

    /// @brief Takes in that work has become late, which may change the order.
    /// @complexity O(log n) per subquery that has become late
    void advance(time_point now);

    bool empty() const noexcept
    {
        return m_entries.empty();
    }

    std::size_t size() const noexcept
    {
        return m_entries.size();
    }

    /// @return the number of subqueries that are served before work that is late
    std::size_t size_on_time() const noexcept
    {
        return m_entries.size() - m_late.size();
    }

    /// @return the subquery to start next; the queue must not be empty
    subquery_id first() const;

    /// @return the subquery whose deadline is examined next: the first one by deadline order; otherwise the
    /// one with the earliest deadline. The queue must not be empty.
    subquery_id next_to_expire() const;

    /// @return the position of a subquery that is in the queue
    position position_of(subquery_id id) const;

    /// @return the cost of the work that is served before new work that is late; by deadline order, the
    /// number of subqueries
    double cost() const noexcept;

    /// @return the cost of the work that is served before new work that can meet its objective, if all
    /// waiting work is served before that new work
    double cost_on_time() const noexcept;

    /// @return the cost of the work that is served before a new subquery of this priority
    double cost_before(int priority) const;

    /// @return the cost of the work that is served before a new subquery of this priority and team, if
    /// the teams received equal service before
    double cost_before(int priority, const team_name& team) const;

    /// @brief Adds the numbers of waiting subqueries.
    void add_counts(waiting_counts& into) const;

    /// @return the number of pairs of priority and team for which state is kept
    std::size_t pairs() const noexcept
    {
        return m_on_time.pairs() + m_late.pairs();
    }

  private:
    enum class place
    {
        first,
        on_time,
        late,
    };

    struct entry
    {
        waiting_subquery item;
        place at = place::first;
        /// The key in @ref m_first.
        time_point key{};
    };

    using key_set = std::set<std::pair<time_point, subquery_id>>;

  public:
    /// @brief Returns the waiting subqueries in order. The queue must not change meanwhile.
    class scan
    {
      public:
        explicit scan(const work_queue& queue);

        /// @return the next subquery, or 0 after the last one
        subquery_id next();

      private:
        key_set::const_iterator m_next_first;
        key_set::const_iterator m_end_first;
        fair_order::scan m_on_time;
        fair_order::scan m_late;
    };

  private:
    void insert(entry& added);
    void remove(const entry& removed);

    order m_order;
    std::unordered_map<subquery_id, entry> m_entries;
    /// Replacements of overdue attempts and, by deadline order, all others.
    key_set m_first;
    fair_order m_on_time;
    fair_order m_late;
    /// By priority only: the work that is on time by the time at which it becomes late, and all work by
    /// deadline.
    key_set m_by_late_at;
    key_set m_by_deadline;
};

} // namespace flaxtiller::dispatch
