#pragma once

#include <flaxtiller/dispatch/fair_shares.hpp>
#include <flaxtiller/dispatch/waiting_subquery.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace flaxtiller::dispatch
{

/// @brief Orders waiting subqueries: priorities share the slot time by weight, the teams of a priority share
/// it equally, and the subqueries of a team are ordered by objective, deadline and id.
///
/// The shares are work-conserving. State is kept for the waiting pairs of priority and team, and for a pair
/// that stopped waiting until its service no longer matters; nothing is kept while nothing waits.
class fair_order
{
  public:
    /// The ratio of the slot time of a priority to that of the next waiting one.
    static constexpr double priority_weight_ratio = 4.0;
    /// The least weight of a priority, relative to the most urgent waiting one. With three priorities, the
    /// last one thus keeps a share of 1/11 instead of 1/21.
    static constexpr double least_priority_weight = 0.125;
    /// The slot time that a team with less use than its share may get ahead of the others, as a multiple of
    /// the usual latency. Without it, a team whose mean demand is just its share loses the peaks of its
    /// arrivals, which become late while other teams are served.
    static constexpr double team_credit = 32.0;

    fair_order() = default;
    // The order points to its own members.
    fair_order(const fair_order&) = delete;
    fair_order& operator=(const fair_order&) = delete;
    fair_order(fair_order&&) = default;
    fair_order& operator=(fair_order&&) = default;
    ~fair_order() = default;

    /// @brief Adds a subquery, which stays at its address until it is erased.
    void add(const waiting_subquery& item);

    void erase(const waiting_subquery& item);

    /// @brief Counts the expected slot time of a subquery that is started, whether it was added or not.
    void charge(const waiting_subquery& item);

    bool empty() const noexcept
    {
        return m_size == 0;
    }

    std::size_t size() const noexcept
    {
        return m_size;
    }

    /// @return the subquery to start next; the order must not be empty
    const waiting_subquery& first() const;

    /// @return the sum of the costs of all waiting subqueries
    double cost() const noexcept
    {
        return m_cost;
    }

    /// @return the cost of the work that runs before the last waiting subquery of a priority does, where
    /// other priorities take their shares meanwhile
    double cost_before(int priority) const;

    /// @return the same for a new subquery of a team, if the teams received equal service before
    double cost_before(int priority, const team_name& team) const;

    /// @return the number of pairs of priority and team for which state is kept
    std::size_t pairs() const noexcept;

  private:
    struct by_objective
    {
        bool operator()(const waiting_subquery* a, const waiting_subquery* b) const noexcept;
    };

    using waiting_set = std::set<const waiting_subquery*, by_objective>;

    /// The waiting subqueries of one pair of priority and team.
    struct team_state
    {
        team_name key;
        double served = 0.0;
        double cost = 0.0;
        waiting_set waiting{};
    };

    struct priority_state
    {
        int key = 0;
        double served = 0.0;
        double cost = 0.0;
        std::unordered_map<team_name, team_state> teams{};
        fair_shares<team_state> shares{team_credit};
    };

  public:
    /// @brief Returns the waiting subqueries in order, as if each were started in turn. The order must not
    /// change meanwhile.
    class scan
    {
      public:
        explicit scan(const fair_order& order) : m_order(order)
        {
        }

        /// @return the next subquery, or null after the last one
        /// @complexity linear in the number of subqueries that were returned
        const waiting_subquery* next();

      private:
        struct team_cursor
        {
            double served = 0.0;
            const team_state* team = nullptr;
            waiting_set::const_iterator at{};
        };

        struct priority_cursor
        {
            double served = 0.0;
            double weight = 1.0;
            const priority_state* priority = nullptr;
            fair_shares<team_state>::members::const_iterator next_team{};
            std::vector<team_cursor> begun{};
        };

        static bool is_finished(const priority_cursor& cursor);
        static const waiting_subquery* next_of(priority_cursor& cursor);
        priority_cursor* least_served();

        const fair_order& m_order;
        bool m_has_begun = false;
        fair_shares<priority_state>::members::const_iterator m_next_priority{};
        std::vector<priority_cursor> m_begun;
    };

  private:
    double weight_of(int priority) const;
    static double weight_of_rank(int rank);
    double cost_with_other_priorities(int priority, double own) const;
    team_state& state_of(priority_state& priority, const team_name& team);
    void forget_expired(priority_state& priority);

    std::map<int, priority_state> m_priorities;
    fair_shares<priority_state> m_shares;
    /// The priorities that have work waiting.
    std::set<int> m_waiting_priorities;
    std::size_t m_size = 0;
    double m_cost = 0.0;
};

} // namespace flaxtiller::dispatch
