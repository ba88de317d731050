#include <flaxtiller/quorum/restart_hold.hpp>

#include <algorithm>

namespace flaxtiller::quorum
{

restart_hold::restart_hold(std::uint64_t life) noexcept : m_life(life)
{
}

std::uint64_t restart_hold::life() const noexcept
{
    return m_life;
}

bool restart_hold::awaits(const replica_name& voter) const
{
    return m_not_leading.count(voter) == 0;
}

void restart_hold::take(const replica_name& from, incarnation_id incarnation, const leadership_reply& reply,
                        const member_set& members)
{
    if (reply.life != m_life)
    {
        return;
    }
    if (reply.leads)
    {
        m_not_leading.clear();
        m_same_members.clear();
        return;
    }
    m_not_leading.insert(from);
    if (members.is_voter(from, incarnation) && reply.members == members)
    {
        m_same_members.insert(from);
    }
}

bool restart_hold::is_ruled_out(const replica_name& self, const member_set& members) const
{
    const bool all_answered = std::all_of(members.members.begin(), members.members.end(),
                                          [&](const auto& item)
                                          {
                                              const bool counts = item.second.voter && item.first != self;
                                              return !counts || !awaits(item.first);
                                          });
    return all_answered && members.majority_of(
                               [&](const member& item)
                               {
                                   return item.name == self || m_same_members.count(item.name) > 0;
                               });
}

} // namespace flaxtiller::quorum
