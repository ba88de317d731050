#include <flaxtiller/quorum/membership_planner.hpp>

#include <algorithm>

namespace flaxtiller::quorum
{

bool membership_planner::is_silent(const view& current, const replica_name& name, duration length,
                                   time_point now)
{
    if (name == current.self)
    {
        return false;
    }
    const auto found = current.others.find(name);
    return found == current.others.end() || now - found->second.last_contact >= length;
}

std::optional<member_change> membership_planner::returned_without_disk(const view& current,
                                                                       time_point now) const
{
    for (const auto& [name, latest] : current.announced)
    {
        const auto known = current.members.members.find(name);
        const bool is_other_member = name != current.self && known != current.members.members.end();
        if (is_other_member && is_current(latest, now) && known->second.incarnation != latest.incarnation)
        {
            return member_change{member_change::kind::add, name, latest.incarnation};
        }
    }
    return std::nullopt;
}

std::optional<member_change> membership_planner::removable_voter(const view& current, time_point now) const
{
    for (const auto& [name, item] : current.members.members)
    {
        if (!item.voter || !is_silent(current, name, m_options.lost_after, now))
        {
            continue;
        }
        member_set remaining = current.members;
        remaining.members.erase(name);
        const bool majority_reachable = remaining.majority_of(
            [&](const member& other)
            {
                return !is_silent(current, other.name, m_options.lost_after, now);
            });
        if (majority_reachable && m_options.tolerated.allow(current.members, remaining, current.places))
        {
            return member_change{member_change::kind::remove, name, 0};
        }
    }
    return std::nullopt;
}

std::optional<member_change> membership_planner::new_replica(const view& current, time_point now) const
{
    const auto& members = current.members.members;
    const bool is_learning = std::any_of(
        members.begin(), members.end(),
        [&](const auto& item)
        {
            return !item.second.voter && !is_silent(current, item.first, m_options.lost_after, now);
        });
    const bool is_doubtful =
        std::any_of(members.begin(), members.end(),
                    [&](const auto& item)
                    {
                        return item.second.voter &&
                               is_silent(current, item.first, m_options.doubtful_after, now) &&
                               !is_silent(current, item.first, m_options.lost_after, now);
                    });
    const bool voters_missing = current.members.voters() < m_options.tolerated.least_voters();
    if (is_learning || (is_doubtful && !voters_missing))
    {
        return std::nullopt;
    }
    for (const auto& [name, latest] : current.announced)
    {
        if (name != current.self && is_current(latest, now) && members.count(name) == 0)
        {
            return member_change{member_change::kind::add, name, latest.incarnation};
        }
    }
    return std::nullopt;
}

std::optional<member_change> membership_planner::removable_learner(const view& current, time_point now) const
{
    for (const auto& [name, item] : current.members.members)
    {
        if (!item.voter && is_silent(current, name, m_options.lost_after, now))
        {
            return member_change{member_change::kind::remove, name, 0};
        }
    }
    return std::nullopt;
}

std::optional<member_change> membership_planner::next(const view& current, time_point now) const
{
    if (auto change = returned_without_disk(current, now))
    {
        return change;
    }
    if (auto change = removable_voter(current, now))
    {
        return change;
    }
    if (auto change = new_replica(current, now))
    {
        return change;
    }
    return removable_learner(current, now);
}

} // namespace flaxtiller::quorum
