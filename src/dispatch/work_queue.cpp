#include <flaxtiller/dispatch/work_queue.hpp>

#include <utility>

namespace flaxtiller::dispatch
{

work_queue::work_queue(const work_queue& other)
    : m_order(other.m_order), m_entries(other.m_entries), m_by_deadline(other.m_by_deadline)
{
    for (auto& [id, waiting] : m_entries)
    {
        insert(waiting);
    }
}

work_queue& work_queue::operator=(work_queue other) noexcept
{
    std::swap(m_order, other.m_order);
    std::swap(m_entries, other.m_entries);
    std::swap(m_first, other.m_first);
    std::swap(m_on_time, other.m_on_time);
    std::swap(m_late, other.m_late);
    std::swap(m_by_late_at, other.m_by_late_at);
    std::swap(m_by_deadline, other.m_by_deadline);
    return *this;
}

void work_queue::add(const waiting_subquery& item, bool is_replacement, time_point now)
{
    advance(now);
    entry& added = m_entries.emplace(item.id, entry{item}).first->second;
    const bool by_deadline = m_order == order::by_deadline;
    if (is_replacement || by_deadline)
    {
        added.at = place::first;
        added.key = is_replacement ? time_point() : item.deadline;
    }
    else
    {
        added.at = now > item.late_at ? place::late : place::on_time;
    }
    if (!by_deadline)
    {
        m_by_deadline.emplace(item.deadline, item.id);
    }
    insert(added);
}

void work_queue::insert(entry& added)
{
    switch (added.at)
    {
    case place::first:
        m_first.emplace(added.key, added.item.id);
        break;
    case place::on_time:
        m_on_time.add(added.item);
        if (added.item.late_at != time_point::never())
        {
            m_by_late_at.emplace(added.item.late_at, added.item.id);
        }
        break;
    case place::late:
        m_late.add(added.item);
        break;
    }
}

void work_queue::remove(const entry& removed)
{
    switch (removed.at)
    {
    case place::first:
        m_first.erase({removed.key, removed.item.id});
        break;
    case place::on_time:
        m_on_time.erase(removed.item);
        m_by_late_at.erase({removed.item.late_at, removed.item.id});
        break;
    case place::late:
        m_late.erase(removed.item);
        break;
    }
}

void work_queue::erase(subquery_id id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
    {
        return;
    }
    remove(found->second);
    m_by_deadline.erase({found->second.item.deadline, id});
    m_entries.erase(found);
}

void work_queue::start(subquery_id id)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end() && m_order == order::by_priority)
    {
        fair_order& charged = found->second.at == place::late ? m_late : m_on_time;
        charged.charge(found->second.item);
    }
    erase(id);
}

void work_queue::set_priority(subquery_id id, int priority)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
    {
        remove(found->second);
        found->second.item.priority = priority;
        insert(found->second);
    }
}

void work_queue::advance(time_point now)
{
    while (!m_by_late_at.empty() && m_by_late_at.begin()->first < now)
    {
        entry& late = m_entries.at(m_by_late_at.begin()->second);
        remove(late);
        late.at = place::late;
        insert(late);
    }
}

subquery_id work_queue::first() const
{
    if (!m_first.empty())
    {
        return m_first.begin()->second;
    }
    return m_on_time.empty() ? m_late.first().id : m_on_time.first().id;
}

subquery_id work_queue::next_to_expire() const
{
    return m_order == order::by_deadline ? first() : m_by_deadline.begin()->second;
}

work_queue::position work_queue::position_of(subquery_id id) const
{
    const entry& found = m_entries.at(id);
    if (found.at == place::first)
    {
        return {static_cast<int>(place::first), 0, found.key};
    }
    return {static_cast<int>(found.at), found.item.priority, found.item.objective_at};
}

double work_queue::cost() const noexcept
{
    return cost_on_time() + m_late.cost();
}

double work_queue::cost_on_time() const noexcept
{
    return static_cast<double>(m_first.size()) + m_on_time.cost();
}

double work_queue::cost_before(int priority) const
{
    return static_cast<double>(m_first.size()) + m_on_time.cost_before(priority);
}

double work_queue::cost_before(int priority, const team_name& team) const
{
    return static_cast<double>(m_first.size()) + m_on_time.cost_before(priority, team);
}

void work_queue::add_counts(waiting_counts& into) const
{
    for (const auto& [id, waiting] : m_entries)
    {
        waiting_count& count = into[{waiting.item.priority, waiting.item.team}];
        ++(waiting.at == place::late ? count.late : count.on_time);
    }
}

work_queue::scan::scan(const work_queue& queue)
    : m_next_first(queue.m_first.begin()), m_end_first(queue.m_first.end()), m_on_time(queue.m_on_time),
      m_late(queue.m_late)
{
}

subquery_id work_queue::scan::next()
{
    if (m_next_first != m_end_first)
    {
        return (m_next_first++)->second;
    }
    const waiting_subquery* found = m_on_time.next();
    found = found == nullptr ? m_late.next() : found;
    return found == nullptr ? 0 : found->id;
}

} // namespace flaxtiller::dispatch
