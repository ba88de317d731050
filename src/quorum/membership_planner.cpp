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

std::optional<replica_name> membership_planner::replaceable(const replica_name& self,
                                                            const member_set& members,
                                                            const std::map<replica_name, progress>& others,
                                                            time_point now) const
{
    for (const auto& [name, item] : members.members)
    {
        if (!item.voter || name == self || !is_silent(name, others, now))
        {
            continue;
        }
        member_set remaining_members = members;
        remaining_members.members.erase(name);
        const bool majority_reachable = remaining_members.majority_of(
            [&](const member& other)
            {
                return other.name == self || !is_silent(other.name, others, now);
            });
        if (majority_reachable)
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
    std::optional<member_change> new_replica;
    for (const auto& [name, latest] : announced)
    {
        if (name == self || now - latest.last_contact > m_options.max_announcement_age)
        {
            continue;
        }
        const auto known = members.members.find(name);
        if (known == members.members.end())
        {
            new_replica = member_change{member_change::kind::add, name, latest.incarnation};
        }
        else if (known->second.incarnation != latest.incarnation)
        {
            // The replica lost its disk: the incarnation in the member set no longer exists.
            return member_change{member_change::kind::add, name, latest.incarnation};
        }
    }
    std::optional<replica_name> silent_learner;
    bool learner_reachable = false;
    for (const auto& [name, item] : members.members)
    {
        const bool silent = name != self && is_silent(name, others, now);
        learner_reachable = learner_reachable || (!item.voter && !silent);
        silent_learner = !item.voter && silent ? std::optional(name) : silent_learner;
    }
    // An even number of voters tolerates no more failures than the next lower odd number.
    const bool has_spare_voter = members.voters() > 2 && members.voters() % 2 == 0;
    if (new_replica || learner_reachable || has_spare_voter)
    {
        if (const auto replaced = replaceable(self, members, others, now))
        {
            return member_change{member_change::kind::remove, *replaced, 0};
        }
    }
    if (new_replica && !learner_reachable)
    {
        return new_replica;
    }
    if (silent_learner)
    {
        return member_change{member_change::kind::remove, *silent_learner, 0};
    }
    return std::nullopt;
}

} // namespace flaxtiller::quorum
