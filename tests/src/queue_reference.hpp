#pragma once

#include <flaxtiller/dispatch/fair_order.hpp>
#include <flaxtiller/dispatch/waiting_subquery.hpp>
#include <flaxtiller/dispatch/work_queue.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::test
{

/// @return the ids of the waiting subqueries in order
inline std::vector<dispatch::subquery_id> order_of(const dispatch::work_queue& queue)
{
    std::vector<dispatch::subquery_id> ids;
    dispatch::work_queue::scan scan(queue);
    for (dispatch::subquery_id id = scan.next(); id != 0; id = scan.next())
    {
        ids.push_back(id);
    }
    return ids;
}

/// @brief The order of dispatch::fair_order, computed from a plain list for each question.
class reference_order
{
  public:
    void add(const dispatch::waiting_subquery& item)
    {
        const account account_of = accounts_waiting();
        if (account_of.priorities.count(item.priority) == 0)
        {
            double& served = m_service.priorities[item.priority];
            served = std::max(served, m_service.virtual_time);
        }
        if (account_of.teams.count({item.priority, item.team}) == 0)
        {
            double& served = m_service.teams[{item.priority, item.team}];
            served = std::max(served,
                              m_service.team_virtual_time[item.priority] - dispatch::fair_order::team_credit);
        }
        items.push_back(item);
    }

    void charge(const dispatch::waiting_subquery& item)
    {
        if (items.empty())
        {
            return;
        }
        const account waiting = accounts_waiting();
        double& time = m_service.virtual_time;
        time = std::max(time, least(waiting.priorities));
        double& served = m_service.priorities[item.priority];
        served = std::max(served, time) + item.cost / weight_of(item.priority);
        account of_priority;
        for (const auto& [key, amount] : waiting.teams)
        {
            if (key.first == item.priority)
            {
                of_priority.teams.emplace(key, amount);
            }
        }
        double& team_time = m_service.team_virtual_time[item.priority];
        if (!of_priority.teams.empty())
        {
            team_time = std::max(team_time, least(of_priority.teams));
        }
        double& team_served = m_service.teams[{item.priority, item.team}];
        team_served = std::max(team_served, team_time - dispatch::fair_order::team_credit) + item.cost;
    }

    void erase(dispatch::subquery_id id)
    {
        std::erase_if(items,
                      [&](const dispatch::waiting_subquery& item)
                      {
                          return item.id == id;
                      });
        if (items.empty())
        {
            m_service = {};
            return;
        }
        // A priority that does not wait is forgotten, with its teams, once it has no excess service.
        const account waiting = accounts_waiting();
        for (auto at = m_service.priorities.begin(); at != m_service.priorities.end();)
        {
            const int priority = at->first;
            const bool expired =
                waiting.priorities.count(priority) == 0 && at->second <= m_service.virtual_time;
            at = expired ? m_service.priorities.erase(at) : std::next(at);
            if (expired)
            {
                m_service.team_virtual_time.erase(priority);
                std::erase_if(m_service.teams,
                              [&](const auto& team)
                              {
                                  return team.first.first == priority;
                              });
            }
        }
    }

    /// @return the ids in the order in which they are started, if nothing else happens
    std::vector<dispatch::subquery_id> ids() const
    {
        std::map<int, double> weights;
        for (const auto& [priority, served] : accounts_waiting().priorities)
        {
            weights[priority] = weight_of(priority);
        }
        reference_order rest = *this;
        std::vector<dispatch::subquery_id> order;
        while (!rest.items.empty())
        {
            const account waiting = rest.accounts_waiting();
            const int priority = least_key(waiting.priorities);
            std::map<team_name, double> teams;
            for (const auto& [key, served] : waiting.teams)
            {
                if (key.first == priority)
                {
                    teams.emplace(key.second, served);
                }
            }
            const team_name team = least_key(teams);
            const auto next =
                std::min_element(rest.items.begin(), rest.items.end(),
                                 [&](const auto& a, const auto& b)
                                 {
                                     const auto key = [&](const auto& item)
                                     {
                                         const bool other = item.priority != priority || item.team != team;
                                         return std::tuple(other, item.objective_at, item.deadline, item.id);
                                     };
                                     return key(a) < key(b);
                                 });
            order.push_back(next->id);
            rest.m_service.priorities[priority] += next->cost / weights.at(priority);
            rest.m_service.teams[{priority, team}] += next->cost;
            rest.items.erase(next);
        }
        return order;
    }

    std::vector<dispatch::waiting_subquery> items;

  private:
    struct account
    {
        std::map<int, double> priorities;
        std::map<std::pair<int, team_name>, double> teams;
        std::map<int, double> team_virtual_time;
        double virtual_time = 0.0;
    };

    /// @return the service of the priorities and teams that have work waiting
    account accounts_waiting() const
    {
        account waiting;
        for (const dispatch::waiting_subquery& item : items)
        {
            waiting.priorities[item.priority] = m_service.priorities.at(item.priority);
            waiting.teams[{item.priority, item.team}] = m_service.teams.at({item.priority, item.team});
        }
        return waiting;
    }

    double weight_of(int priority) const
    {
        double weight = 1.0;
        for (const auto& [other, served] : accounts_waiting().priorities)
        {
            weight /= other < priority ? dispatch::fair_order::priority_weight_ratio : 1.0;
        }
        return std::max(weight, dispatch::fair_order::least_priority_weight);
    }

    template <typename Key>
    static Key least_key(const std::map<Key, double>& service)
    {
        return std::min_element(service.begin(), service.end(),
                                [](const auto& a, const auto& b)
                                {
                                    return a.second < b.second;
                                })
            ->first;
    }

    template <typename Key>
    static double least(const std::map<Key, double>& service)
    {
        return service.at(least_key(service));
    }

    account m_service;
};

} // namespace flaxtiller::test
