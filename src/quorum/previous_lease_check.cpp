#include <flaxtiller/quorum/previous_lease_check.hpp>

#include <algorithm>

namespace flaxtiller::quorum
{

previous_lease_check::previous_lease_check(std::uint64_t replica_run) noexcept : m_replica_run(replica_run)
{
}

std::uint64_t previous_lease_check::replica_run() const noexcept
{
    return m_replica_run;
}

bool previous_lease_check::awaits_reply_from(const replica_name& voter) const
{
    return m_not_leading.count(voter) == 0;
}

void previous_lease_check::record_reply(const replica_name& from, incarnation_id incarnation,
                                        const leadership_reply& reply, const member_set& members)
{
    if (reply.replica_run != m_replica_run)
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

bool previous_lease_check::rules_out_lease(const replica_name& self, const member_set& members) const
{
    const bool all_answered = std::all_of(members.members.begin(), members.members.end(),
                                          [&](const auto& item)
                                          {
                                              const bool counts = item.second.voter && item.first != self;
                                              return !counts || !awaits_reply_from(item.first);
                                          });
    return all_answered && members.majority_of(
                               [&](const member& item)
                               {
                                   return item.name == self || m_same_members.count(item.name) > 0;
                               });
}

} // namespace flaxtiller::quorum
