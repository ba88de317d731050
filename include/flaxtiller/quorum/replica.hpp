#pragma once

#include <flaxtiller/core/error.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/output.hpp>
#include <flaxtiller/quorum/persisted_state.hpp>
#include <flaxtiller/quorum/progress.hpp>
#include <flaxtiller/quorum/replicated_log.hpp>
#include <flaxtiller/quorum/previous_lease_check.hpp>
#include <flaxtiller/quorum/timing.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <system_error>

namespace flaxtiller::quorum
{

/// @brief The part a replica plays in its term.
enum class role
{
    follower,
    /// Asks whether it would be elected, without raising the term.
    pre_candidate,
    candidate,
    leader,
};

/// @brief One replica of a replicated log: election with pre-vote and check-quorum, replication, lease,
/// snapshot and change of members one at a time.
///
/// Deterministic: no threads, files, sockets or clock. Feed it events with the present time, then take the
/// @ref output, write and sync what it says, call @ref on_synced, and send the rest. Based on the published
/// Raft algorithm; what differs (incarnations, known commit, learners) is in docs/design/0003-quorum.md.
class replica
{
  public:
    /// @param name this replica's name
    /// @param incarnation its data folder's identity
    /// @param stored what was found on disk
    /// @param seed for the spread of election timeouts
    replica(replica_name name, incarnation_id incarnation, timing limits, const persisted_state& stored,
            std::uint64_t seed, time_point now);

    // ------------------------------------------------------------------ events

    /// @brief Time has passed. Call at least every heartbeat.
    void tick(time_point now);

    /// @brief A message arrived.
    void receive(const message& received, time_point now);

    /// @brief Everything of the last output is on disk.
    void on_synced();

    /// @brief Asks for a command to be put into the log.
    /// @return its index, or nothing unless this replica leads
    std::optional<log_index> propose(std::string command, time_point now);

    /// @brief Adds @a name as a learner, in place of an earlier incarnation; it is promoted once caught up.
    std::error_code add_member(const replica_name& name, incarnation_id incarnation, time_point now);

    /// @brief Removes a member.
    std::error_code remove_member(const replica_name& name, time_point now);

    /// @brief The state after @a applied is @a state: entries up to there may be dropped.
    void compact(log_index applied, std::string state);

    // ------------------------------------------------------------------ results

    /// @return what must be done now; empty until the next event
    output take_output();

    /// @return whether it leads and no other can lead now; only then may it answer from its state
    bool has_lease(time_point now) const;

    /// @return whether it gives no vote yet, since its earlier life may be part of a lease
    bool awaits_previous_lease_end() const noexcept;

    /// @return whether it leads and an entry of its own term is committed
    bool is_ready_leader() const noexcept;

    // ------------------------------------------------------------------ inspection

    enum role role() const noexcept;
    term_number term() const noexcept;
    log_index commit_index() const noexcept;
    const replica_name& name() const noexcept;
    incarnation_id incarnation() const noexcept;
    /// @return the leader of this term, or an empty name
    const replica_name& leader() const noexcept;
    const replicated_log& log() const noexcept;
    const member_set& members() const noexcept;
    /// @return what it knows of the other members, if it leads
    const std::map<replica_name, progress>& others() const noexcept;
    /// @return incarnations that spoke but aren't members, by name: replaced or wiped replicas
    const std::map<replica_name, incarnation_id>& non_members() const noexcept;
    /// @return when it next needs @ref tick
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
    bool is_superseded(const message& received) const;
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
    std::map<replica_name, progress> m_progress;
    std::map<replica_name, incarnation_id> m_non_members;

    /// Set from the start until a leader was heard, or an earlier life's lease is ruled out or over.
    std::optional<previous_lease_check> m_previous_lease_check;
    time_point m_query_due{};
    /// Until then an election that failed is tried again soon.
    time_point m_early_election_until{};
    time_point m_last_leader_contact{};
    time_point m_election_deadline{};
    time_point m_heartbeat_due{};
    output m_output;
};

} // namespace flaxtiller::quorum
