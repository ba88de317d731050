#pragma once

#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/message.hpp>

#include <cstdint>
#include <set>

namespace flaxtiller::quorum
{

/// @brief Determines when a restarted replica no longer has to wait for a lease of its previous run.
///
/// Before the restart, the replica may have acknowledged a leader's heartbeat and thereby be part of a lease
/// that is still valid. Therefore the replica grants no vote until the lease must have expired. This class
/// allows the wait to end early.
///
/// Only a replica that has been the leader without interruption since the restart can hold such a lease. No
/// lease is valid under these two conditions:
/// - Every other voter has replied to a query of the current run that it is not the leader.
/// - No replica outside of these voters can be the leader: a majority of the voters, this replica included,
///   has the same newest member set in its log. A change of the member set that this majority does not know
///   was never committed, and a leader commits an entry of its own term before it holds a lease.
///
/// The reply of a voter that lost its disk shows that its previous incarnation no longer exists, but its
/// empty log says nothing about the member set. A voter that does not reply may be the leader, and the wait
/// continues.
class previous_lease_check
{
  public:
    /// @param replica_run identifies the current run of this replica in queries and replies
    explicit previous_lease_check(std::uint64_t replica_run) noexcept;

    /// @return the identifier of the current run
    std::uint64_t replica_run() const noexcept;

    /// @return whether the voter has not yet replied that it is not the leader
    bool awaits_reply_from(const replica_name& voter) const;

    /// @brief Records a reply. A reply to a query of a previous run is ignored. A reply of a leader discards
    /// all earlier replies.
    /// @param from the name of the replying replica
    /// @param incarnation the incarnation of the replying replica
    /// @param reply the reply
    /// @param members the newest member set in this replica's log
    void record_reply(const replica_name& from, incarnation_id incarnation, const leadership_reply& reply,
                      const member_set& members);

    /// @param self the name of this replica
    /// @param members the newest member set in this replica's log
    /// @return whether no lease can be valid that a previous run of this replica is part of
    bool rules_out_lease(const replica_name& self, const member_set& members) const;

  private:
    std::uint64_t m_replica_run;
    /// Replicas that replied that they are not the leader.
    std::set<replica_name> m_not_leading;
    /// The voters among them whose newest member set equals this replica's.
    std::set<replica_name> m_same_members;
};

} // namespace flaxtiller::quorum
