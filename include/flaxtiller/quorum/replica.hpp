#pragma once

#include <flaxtiller/core/error.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/election_status.hpp>
#include <flaxtiller/quorum/output.hpp>
#include <flaxtiller/quorum/persisted_state.hpp>
#include <flaxtiller/quorum/previous_lease_check.hpp>
#include <flaxtiller/quorum/progress.hpp>
#include <flaxtiller/quorum/replicated_log.hpp>
#include <flaxtiller/quorum/timing.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <system_error>

namespace flaxtiller::quorum
{

/// @brief The role of a replica in the current term.
enum class role
{
    follower,
    /// Asks the voters whether they would elect it, without incrementing the term.
    pre_candidate,
    candidate,
    leader,
};

/// @brief One replica of a replicated log, based on the published Raft algorithm: leader election with
/// pre-vote and check-quorum, replication, leader lease, snapshots, and changes of one member at a time.
///
/// The class is deterministic and uses no threads, files, sockets or clock. The caller passes events with the
/// current time, takes the @ref output, sends the messages that need no sync, writes and syncs the changes,
/// calls @ref on_synced, sends the remaining messages, and applies the committed entries. The differences to
/// Raft (incarnations, known commit index, learners) are described in docs/design/0003-quorum.md.
class replica
{
  public:
    /// @param name the name of this replica
    /// @param incarnation the identity of its data folder
    /// @param limits the time limits
    /// @param stored the state read from disk
    /// @param seed the seed of the random election timeouts
    /// @param now the current time
    replica(replica_name name, incarnation_id incarnation, timing limits, const persisted_state& stored,
            std::uint64_t seed, time_point now);

    // ------------------------------------------------------------------ events

    /// @brief Handles timeouts. Must be called at least once per heartbeat interval.
    void tick(time_point now);

    /// @brief Handles a message of another replica.
    void receive(const message& received, time_point now);

    /// @brief Reports that all changes of the last output are on disk.
    void on_synced();

    /// @brief Appends a command to the log.
    /// @return the index of the entry, or nothing if this replica is not the leader
    std::optional<log_index> propose(std::string command, time_point now);

    /// @brief Adds the replica @a name as a learner and replaces an earlier incarnation of it. The learner is
    /// promoted to a voter once its log has caught up.
    /// @return @ref errc::not_leader, @ref errc::not_committed if another change is pending, or no error
    std::error_code add_member(const replica_name& name, incarnation_id incarnation, time_point now);

    /// @brief Removes a member.
    /// @return @ref errc::not_leader, @ref errc::not_committed if another change is pending,
    /// @ref errc::out_of_range if no voter would remain, or no error
    std::error_code remove_member(const replica_name& name, time_point now);

    /// @brief Replaces the entries up to @a applied by a snapshot.
    /// @param applied the index of the last entry that @a state includes
    /// @param state the serialized replicated state
    void compact(log_index applied, std::string state);

    // ------------------------------------------------------------------ results

    /// @return the actions to carry out; empty until the next event
    output take_output();

    /// @return whether this replica is the leader and no other replica can be a leader now. Only then may
    /// reads be answered from its state.
    bool has_lease(time_point now) const;

    /// @return whether this replica grants no vote yet, because its previous run may be part of a valid lease
    bool awaits_previous_lease_end() const noexcept;

    /// @return whether this replica is the leader and an entry of its own term is committed
    bool is_ready_leader() const noexcept;

    // ------------------------------------------------------------------ inspection

    enum role role() const noexcept;
    term_number term() const noexcept;
    log_index commit_index() const noexcept;
    const replica_name& name() const noexcept;
    incarnation_id incarnation() const noexcept;
    /// @return the leader of the current term, or an empty name if it is unknown
    const replica_name& leader() const noexcept;
    const replicated_log& log() const noexcept;
    const member_set& members() const noexcept;
    /// @return the eligibility of this replica as a candidate, and the votes of its last election
    election_status election() const;
    /// @return the replication progress of the other members; empty unless this replica is the leader
    const std::map<replica_name, progress>& others() const noexcept;
    /// @return the incarnations that sent a message but are not members, by name: replicas that were replaced
    /// or lost their disk
    const std::map<replica_name, incarnation_id>& non_members() const noexcept;
    /// @return the time at which @ref tick must be called next
    time_point next_tick() const noexcept;

  private:
    void become_follower(term_number term, const replica_name& leader, time_point now);
    void become_leader(time_point now);
    void start_election(bool pre_vote, time_point now);
    void count_vote(const replica_name& voter, time_point now);
    void reset_election_deadline(time_point now);

    void on_vote_request(const message& received, const vote_request& body, time_point now);
    void on_vote_reply(const message& received, const vote_reply& body, time_point now);
    void on_append_request(const message& received, const append_request& body, time_point now);
    void on_append_reply(const message& received, const append_reply& body, time_point now);
    void on_install_request(const message& received, const install_request& body, time_point now);

    bool has_recent_leader_contact(time_point now) const;
    void record_leader_contact(time_point now);
    void query_leadership(time_point now);
    duration early_election_delay();
    void on_leadership_query(const message& received, const leadership_query& body);
    void on_leadership_reply(const message& received, const leadership_reply& body, time_point now);
    bool is_up_to_date(const vote_request& body) const;
    void record_known_commit(log_index leader_commit);
    void append_received(const append_request& body);
    void append_new_entry(log_entry entry);
    void advance_commit();
    void emit_committed(log_index up_to);
    void replicate_to(const member& to, time_point now);
    void replicate_to_all(time_point now);
    void send_snapshot(const member& to, progress& state, time_point now);
    void check_quorum(time_point now);
    void promote_learners(time_point now);
    std::error_code propose_members(member_set next, time_point now);
    void refresh_progress(time_point now);
    void persist_hard();
    void send(const replica_name& to, incarnation_id to_incarnation, message_body body, bool after_sync);

    const replica_name m_name;
    const incarnation_id m_incarnation;
    const timing m_timing;
    std::mt19937_64 m_random;

    hard_state m_hard;
    replicated_log m_log;
    enum role m_role = role::follower;
    replica_name m_leader;
    log_index m_commit = 0;
    log_index m_synced = 0;
    log_index m_emitted = 0;

    std::set<replica_name> m_votes;
    std::set<replica_name> m_refusals;
    std::map<replica_name, progress> m_progress;
    std::map<replica_name, incarnation_id> m_non_members;
    /// The index that a learner must have reached to become a voter: the commit index at the last heartbeat.
    /// A learner that is far away never reaches the present one while changes are committed all the time.
    log_index m_promotion_index = 0;

    /// Set from the start until a message of a leader arrives, or a lease of a previous run is ruled out or
    /// has expired.
    std::optional<previous_lease_check> m_previous_lease_check;
    time_point m_query_due{};
    /// Before this time, a failed election is retried after a short delay.
    time_point m_early_election_until{};
    time_point m_last_leader_contact{};
    time_point m_election_deadline{};
    time_point m_heartbeat_due{};
    output m_output;
};

} // namespace flaxtiller::quorum
