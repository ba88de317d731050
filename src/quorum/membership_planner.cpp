#include <flaxtiller/quorum/membership_planner.hpp>

#include <algorithm>

namespace flaxtiller::quorum
{

bool membership_planner::is_silent(const replica_name& name, const std::map<replica_name, progress>& others,
                              time_point now) const
{
    const auto found = others.find(name);
    return found == others.end() || now - found->second.last_contact >= m_options.lost_after;
}

/// A silent voter without which the others still are a majority of their own.
std::optional<replica_name> membership_planner::replaceable(const replica_name& self, const member_set& members,
                                                       const std::map<replica_name, progress>& others,
                                                       time_point now) const
{
    for (const auto& [name, item] : members.members)
    {
        if (!item.voter || name == self || !is_silent(name, others, now))
        {
            continue;
        }
        member_set rest = members;
        rest.members.erase(name);
        const bool alive = rest.majority_of(
            [&](const member& other)
            {
                return other.name == self || !is_silent(other.name, others, now);
            });
        if (alive)
        {
            return name;
        }
    }
    return std::nullopt;
}

std::optional<member_change> membership_planner::next(const replica_name& self, const member_set& members,
                                                 const std::map<replica_name, progress>& others,
                                                 const std::map<replica_name, announcement>& announced,
                                                 time_point now) const
{
    std::optional<member_change> newcomer;
    for (const auto& [name, said] : announced)
    {
        if (name == self || now - said.last_contact > m_options.max_announcement_age)
        {
            continue;
        }
        const auto known = members.members.find(name);
        if (known == members.members.end())
        {
            newcomer = member_change{member_change::kind::add, name, said.incarnation};
        }
        else if (known->second.incarnation != said.incarnation)
        {
            // Its disk was lost: what the set holds of it doesn't exist any more.
            return member_change{member_change::kind::add, name, said.incarnation};
        }
    }
    std::optional<replica_name> silent_learner;
    bool learner_lives = false;
    for (const auto& [name, item] : members.members)
    {
        const bool silent = name != self && is_silent(name, others, now);
        learner_lives = learner_lives || (!item.voter && !silent);
        silent_learner = !item.voter && silent ? std::optional(name) : silent_learner;
    }
    // An even number of voters bears no more losses than one fewer.
    const bool one_to_spare = members.voters() > 2 && members.voters() % 2 == 0;
    if (newcomer || learner_lives || one_to_spare)
    {
        if (const auto lost = replaceable(self, members, others, now))
        {
            return member_change{member_change::kind::remove, *lost, 0};
        }
    }
    if (newcomer && !learner_lives)
    {
        return newcomer;
    }
    if (silent_learner)
    {
        return member_change{member_change::kind::remove, *silent_learner, 0};
    }
    return std::nullopt;
}

} // namespace flaxtiller::quorum
