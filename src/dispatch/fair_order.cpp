#include <flaxtiller/dispatch/fair_order.hpp>

#include <algorithm>
#include <tuple>

namespace flaxtiller::dispatch
{

bool fair_order::by_objective::operator()(const waiting_subquery* a, const waiting_subquery* b) const noexcept
{
    return std::tie(a->objective_at, a->deadline, a->id) < std::tie(b->objective_at, b->deadline, b->id);
}

fair_order::team_state& fair_order::state_of(priority_state& priority, const team_name& team)
{
    const auto known = priority.teams.find(team);
    return known != priority.teams.end() ? known->second
                                         : priority.teams.emplace(team, team_state{team}).first->second;
}

void fair_order::add(const waiting_subquery& item)
{
    priority_state& priority =
        m_priorities.try_emplace(item.priority, priority_state{item.priority}).first->second;
    if (priority.shares.active().empty())
    {
        m_shares.activate(priority);
        m_waiting_priorities.insert(item.priority);
    }
    team_state& team = state_of(priority, item.team);
    if (team.waiting.empty())
    {
        priority.shares.activate(team);
    }
    team.waiting.insert(&item);
    team.cost += item.cost;
    priority.cost += item.cost;
    m_cost += item.cost;
    ++m_size;
}

void fair_order::erase(const waiting_subquery& item)
{
    const auto known_priority = m_priorities.find(item.priority);
    if (known_priority == m_priorities.end())
    {
        return;
    }
    priority_state& priority = known_priority->second;
    const auto known_team = priority.teams.find(item.team);
    if (known_team == priority.teams.end() || known_team->second.waiting.erase(&item) == 0)
    {
        return;
    }
    if (--m_size == 0)
    {
        m_priorities.clear();
        m_shares.clear();
        m_waiting_priorities.clear();
        m_cost = 0.0;
        return;
    }
    team_state& team = known_team->second;
    team.cost -= item.cost;
    priority.cost -= item.cost;
    m_cost -= item.cost;
    if (team.waiting.empty())
    {
        team.cost = 0.0;
        priority.shares.deactivate(team);
    }
    if (priority.shares.active().empty())
    {
        priority.cost = 0.0;
        m_shares.deactivate(priority);
        m_waiting_priorities.erase(item.priority);
    }
    forget_expired(priority);
}

/// Erases state that would be the same if it were created anew.
void fair_order::forget_expired(priority_state& priority)
{
    while (const team_state* expired = priority.shares.take_expired())
    {
        priority.teams.erase(priority.teams.find(expired->key));
    }
    while (const priority_state* expired = m_shares.take_expired())
    {
        m_priorities.erase(m_priorities.find(expired->key));
    }
}

void fair_order::charge(const waiting_subquery& item)
{
    if (m_size == 0)
    {
        return;
    }
    priority_state& priority =
        m_priorities.try_emplace(item.priority, priority_state{item.priority}).first->second;
    m_shares.charge(priority, item.cost / weight_of(item.priority));
    priority.shares.charge(state_of(priority, item.team), item.cost);
}

const waiting_subquery& fair_order::first() const
{
    const priority_state& priority = **m_shares.active().begin();
    return **(*priority.shares.active().begin())->waiting.begin();
}

double fair_order::weight_of_rank(int rank)
{
    double weight = 1.0;
    for (int i = 0; i < rank && weight > least_priority_weight; ++i)
    {
        weight /= priority_weight_ratio;
    }
    return std::max(weight, least_priority_weight);
}

/// @return the weight of a priority by its rank among the waiting ones
double fair_order::weight_of(int priority) const
{
    // With this rank, a priority has the least weight.
    constexpr int last_rank = 8;
    int rank = 0;
    for (auto urgent = m_waiting_priorities.begin();
         urgent != m_waiting_priorities.end() && *urgent < priority && rank < last_rank; ++urgent)
    {
        ++rank;
    }
    return weight_of_rank(rank);
}

/// @return the cost of the work that runs while work of the cost @a own of a priority runs
double fair_order::cost_with_other_priorities(int priority, double own) const
{
    const double weight = weight_of(priority);
    // Including the new subquery itself, with the usual cost.
    const double shared = own + 1.0;
    double before = own;
    int rank = 0;
    const bool is_waiting = m_waiting_priorities.count(priority) > 0;
    for (const int other : m_waiting_priorities)
    {
        if (other != priority)
        {
            const bool is_behind_new = !is_waiting && other > priority;
            const double other_weight = weight_of_rank(rank + (is_behind_new ? 1 : 0));
            before += std::min(m_priorities.at(other).cost, shared * other_weight / weight);
        }
        ++rank;
    }
    return before;
}

double fair_order::cost_before(int priority) const
{
    const auto known = m_priorities.find(priority);
    return cost_with_other_priorities(priority, known == m_priorities.end() ? 0.0 : known->second.cost);
}

double fair_order::cost_before(int priority, const team_name& team) const
{
    const auto known = m_priorities.find(priority);
    if (known == m_priorities.end())
    {
        return cost_with_other_priorities(priority, 0.0);
    }
    const priority_state& shared = known->second;
    const auto sender = shared.teams.find(team);
    const double own = sender == shared.teams.end() ? 0.0 : sender->second.cost;
    // Each other team runs at most as much work as this one while this one's work runs.
    const auto others = static_cast<double>(shared.shares.active().size());
    return cost_with_other_priorities(priority, std::min(shared.cost, own + (own + 1.0) * others));
}

std::size_t fair_order::pairs() const noexcept
{
    std::size_t count = 0;
    for (const auto& [key, priority] : m_priorities)
    {
        count += priority.teams.size();
    }
    return count;
}

bool fair_order::scan::is_finished(const priority_cursor& cursor)
{
    return cursor.begun.empty() && cursor.next_team == cursor.priority->shares.active().end();
}

fair_order::scan::priority_cursor* fair_order::scan::least_served()
{
    const auto& active = m_order.m_shares.active();
    const auto precedes = [](const priority_cursor& a, const priority_cursor& b)
    {
        return a.served != b.served ? a.served < b.served : a.priority->key < b.priority->key;
    };
    auto least = std::min_element(m_begun.begin(), m_begun.end(), precedes);
    if (m_next_priority != active.end())
    {
        const priority_state* priority = *m_next_priority;
        priority_cursor fresh{priority->served, m_order.weight_of(priority->key), priority,
                              priority->shares.active().begin()};
        if (least == m_begun.end() || precedes(fresh, *least))
        {
            ++m_next_priority;
            return &m_begun.emplace_back(std::move(fresh));
        }
    }
    return least == m_begun.end() ? nullptr : &*least;
}

const waiting_subquery* fair_order::scan::next_of(priority_cursor& cursor)
{
    const auto precedes = [](const team_cursor& a, const team_cursor& b)
    {
        return a.served != b.served ? a.served < b.served : a.team->key < b.team->key;
    };
    auto least = std::min_element(cursor.begun.begin(), cursor.begun.end(), precedes);
    if (cursor.next_team != cursor.priority->shares.active().end())
    {
        const team_state* team = *cursor.next_team;
        const team_cursor fresh{team->served, team, team->waiting.begin()};
        if (least == cursor.begun.end() || precedes(fresh, *least))
        {
            ++cursor.next_team;
            least = cursor.begun.insert(cursor.begun.end(), fresh);
        }
    }
    const waiting_subquery* found = *least->at;
    least->served += found->cost;
    if (++least->at == least->team->waiting.end())
    {
        cursor.begun.erase(least);
    }
    return found;
}

const waiting_subquery* fair_order::scan::next()
{
    if (!m_has_begun)
    {
        m_has_begun = true;
        m_next_priority = m_order.m_shares.active().begin();
    }
    priority_cursor* cursor = least_served();
    if (cursor == nullptr)
    {
        return nullptr;
    }
    const waiting_subquery* found = next_of(*cursor);
    cursor->served += found->cost / cursor->weight;
    if (is_finished(*cursor))
    {
        m_begun.erase(m_begun.begin() + (cursor - m_begun.data()));
    }
    return found;
}

} // namespace flaxtiller::dispatch
