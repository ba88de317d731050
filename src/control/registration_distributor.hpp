#pragma once

#include "deregistration_confirmer.hpp"
#include "links/peer_links.hpp"
#include "registration_file.hpp"

#include <flaxtiller/core/token_bucket.hpp>
#include <flaxtiller/registration/replicated_registry.hpp>

#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Distributes the registrations of backend servers on a control replica: has a @ref
/// replicated_registry decide, sends its messages, and logs and saves what changes. Not thread-safe.
class registration_distributor
{
  public:
    /// @param self the name of this replica
    /// @param path the file that keeps the registrations for the next start of this process
    /// @param on_saved called by another thread when registrations were saved; @ref on_saved must follow
    /// @param silence time without a heartbeat after which a backend server counts as lost
    /// @param timing when a process whose digest differs is sent all registrations
    registration_distributor(peer_links& links, std::string self, const std::string& path,
                             registration_file::saved_function on_saved, duration silence,
                             digest_timing timing, time_point now);

    /// @brief Reads the registrations that a previous run of this process saved. Those of present backend
    /// servers are restored a moment later, unless a replica that didn't restart sends its registrations
    /// before; what is gone is remembered at once.
    void load(time_point now);

    /// @brief Handles a heartbeat of a backend server that was sent to this replica.
    void on_heartbeat(const registration& received, time_point now);

    /// @brief Handles the notice of a backend server, sent to this replica, that it leaves. It takes effect
    /// at once, whether or not it is confirmed.
    /// @param members the members of the replicated log, a majority of which must save the notice
    /// @param done called once it is known whether the notice is confirmed
    void on_leave(const backend_server_name& id, std::int64_t born_ms, const quorum::member_set& members,
                  deregistration_confirmer::confirmation done, time_point now);

    /// @brief Handles that queued registrations were saved to the file.
    void on_saved(time_point now);

    /// @brief Handles registrations, or heartbeats received elsewhere, that another control replica sent.
    void on_update(const std::string& from, const registration_update& update, time_point now);
    void on_heartbeat_receipts(const std::string& from, const registration_heard& receipts, time_point now);

    /// @brief Handles the digest of another process's registrations. If it differs from the own digest for
    /// some time, all registrations are sent to this process.
    void on_digest(const std::string& from, const registration_digest& received, time_point now);

    /// @brief Handles the link to a peer that was established.
    /// @param is_replica whether the peer is a control replica
    void on_reachable(const std::string& peer, bool is_replica, time_point now);

    /// @brief Handles the loss of the link to a peer.
    void on_lost(const std::string& peer, time_point now);

    /// @brief Sends changes, reports received heartbeats to the other replicas, and marks backend servers
    /// without heartbeats as lost.
    /// @param leads whether this replica is the leader. Only a leader marks backend servers as lost, since it
    /// receives the messages of a majority of the replicas.
    void tick(bool leads, time_point now);

    /// @brief Sets the other control replicas.
    void set_replicas(std::set<std::string> others);

    /// @return the registry of backend servers
    const registry& known() const noexcept
    {
        return m_registry.known();
    }

  private:
    static constexpr double max_log_lines_per_s = 64.0;

    /// @brief Saves and logs the changes of the registry, and sends its messages.
    void publish(time_point now);
    void log_changes(const std::vector<registration>& changes, time_point now);
    void log_refused(const std::string& from, time_point now);

    peer_links& m_links;
    registration_file m_file;
    deregistration_confirmer m_confirmer;
    replicated_registry m_registry;
    /// When the number of changes without a log line is logged next.
    time_point m_shared_line_at{};
    /// Limits the log lines for single registrations. Changes above the limit are counted and share one line.
    token_bucket m_log_line_budget;
    /// Number of changes without a log line since the last shared line.
    std::size_t m_unlogged_changes = 0;
};

} // namespace flaxtiller::shell
