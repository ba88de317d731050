#pragma once

#include "peer_links.hpp"
#include "registration_file.hpp"

#include <flaxtiller/core/token_bucket.hpp>
#include <flaxtiller/registration/registration_spread.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <set>
#include <string>

namespace flaxtiller::shell
{

/// @brief Keeps a control process's registry, and brings what changes to all processes that it has links to.
/// Not thread-safe.
class registration_distributor
{
  public:
    /// @param path of the file that keeps the registrations for this process's next start
    registration_distributor(peer_links& links, const std::string& path, duration silence, time_point now)
        : m_links(links), m_file(path), m_silence(silence), m_started_at(now),
          m_log_line_budget(max_log_lines_per_s, max_log_lines_per_s, max_log_lines_per_s, now)
    {
    }

    /// @brief Reads what an earlier life of this process knew. It is taken in a moment later, unless a
    /// replica that didn't restart knows better.
    void load();

    /// @brief A backend server's own word.
    void on_heartbeat(const registration& received, time_point now);
    void on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now);

    /// @brief Another process's word.
    void on_update(const std::string& from, const registration_update& update, time_point now);
    void on_heard(const registration_heard& receipts, time_point now);

    /// @brief What another process knows; one that differs for a while is sent all.
    void on_digest(const std::string& from, const registration_digest& received, time_point now);

    /// @brief A link to another replica came up: its other end may know nothing.
    void on_reachable(const std::string& peer, time_point now);

    /// @brief The link to a peer broke.
    void on_lost(const std::string& peer);

    /// @brief Tells what changed, tells the other replicas who was heard, and calls the silent lost.
    /// @param leads whether this replica leads: only a leader, which a majority's words reach, calls one lost
    void tick(bool leads, time_point now);

    /// @brief Tells which are the other control replicas.
    void set_replicas(std::set<std::string> others);

    const registry& known() const noexcept
    {
        return m_registry;
    }

  private:
    static constexpr double max_log_lines_per_s = 64.0;

    void publish_changes(bool received_here, time_point now);
    void log_changes(const std::vector<registration>& changes, time_point now);
    void send_due(time_point now);
    bool is_settled(time_point now) const;
    void apply_settled_list(const registration_update& update, time_point now);
    void restore(time_point now);

    peer_links& m_links;
    registration_file m_file;
    /// What an earlier life knew, until it is taken in.
    std::vector<registration> m_saved;
    duration m_silence;
    time_point m_started_at;
    registry m_registry;
    registration_spread m_publisher;
    time_point m_exchange_at{};
    /// Pays for the lines on single registrations; many at once share one.
    token_bucket m_log_line_budget;
    /// Changes without a line since the last line on many.
    std::size_t m_unlogged_changes = 0;
};

} // namespace flaxtiller::shell
