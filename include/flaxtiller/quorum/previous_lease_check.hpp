#pragma once

#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/message.hpp>

#include <cstdint>
#include <set>

namespace flaxtiller::quorum
{

/// @brief Why a replica that restarted gives no vote for a while, and when that wait can end early.
///
/// Before it stopped it may have acknowledged a leader's heartbeat, and thereby be part of a lease that is
/// still in force. Only a replica that has led without a break since then can hold that lease. So none is in
/// force once every other voter has answered, in this replica's present life, that it doesn't lead, provided
/// that no replica beyond these voters can lead: a majority of the voters, this one included, has the same
/// newest members in its log. (A change of members that this majority doesn't know of was never committed,
/// and a leader commits an entry of its own term before it holds a lease.)
///
/// A voter that came back without its disk tells by its answer that the earlier one is gone, but its empty
/// log proves nothing about members. One that is silent, cut off or frozen may be the leader: then the wait
/// lasts.
class previous_lease_check
{
  public:
    /// @param life identifies the replica's present life to those that answer
    explicit previous_lease_check(std::uint64_t replica_run) noexcept;

    /// @return what identifies this life
    std::uint64_t replica_run() const noexcept;

    /// @return whether the voter still has to say that it doesn't lead
    bool awaits_reply_from(const replica_name& voter) const;

    /// @brief Takes in an answer; one to an earlier life is ignored, and one that leads voids the others.
    /// @param members the newest members in this replica's log
    void record_reply(const replica_name& from, incarnation_id incarnation, const leadership_reply& reply,
              const member_set& members);

    /// @return whether no lease can be in force that this replica's earlier life is part of
    bool rules_out_lease(const replica_name& self, const member_set& members) const;

  private:
    std::uint64_t m_replica_run;
    /// Voters that don't lead.
    std::set<replica_name> m_not_leading;
    /// Those of them whose log holds the same members.
    std::set<replica_name> m_same_members;
};

} // namespace flaxtiller::quorum
