#pragma once

#include "peer_links.hpp"
#include "registration_file.hpp"

#include <flaxtiller/registration/registry.hpp>

#include <map>
#include <set>
#include <string>

namespace flaxtiller::shell
{

/// @brief Keeps a control process's registry, and brings what changes to all processes that it has links to.
/// Not thread-safe.
class registration_hub
{
  public:
    /// @param path of the file that keeps the registrations for this process's next start
    registration_hub(peer_links& links, const std::string& path, duration silence, time_point now)
        : m_links(links), m_file(path), m_silence(silence), m_started_at(now)
    {
    }

    /// @brief Reads what an earlier life of this process knew. It is taken in a moment later, unless a
    /// replica that didn't restart knows better.
    void load();

    /// @brief A backend server's own word.
    void on_heartbeat(const registration& said, time_point now);
    void on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now);

    /// @brief Another process's word.
    void on_update(const std::string& from, const registration_update& update, time_point now);
    void on_heard(const registration_heard& heard, time_point now);

    /// @brief What another process knows; one that differs for a while is sent all.
    void on_digest(const std::string& from, const registration_digest& said, time_point now);

    /// @brief A link to another replica came up: its other end may know nothing.
    void on_reachable(const std::string& peer, time_point now);

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
    void note_changes(bool own, time_point now);
    void spread(time_point now);
    void send_all(const std::string& to, time_point now);
    bool is_settled(time_point now) const;
    void take_settled(const registration_update& update, time_point now);
    void restore(time_point now);

    peer_links& m_links;
    registration_file m_file;
    /// What an earlier life knew, until it is taken in.
    std::vector<registration> m_before;
    duration m_silence;
    time_point m_started_at;
    registry m_registry;
    time_point m_tell_at{};
    std::set<std::string> m_replicas;
    /// What changed by words received here, and all that changed: told to replicas, and to followers.
    std::vector<registration> m_own_changes;
    std::vector<registration> m_all_changes;
    time_point m_spread_at = time_point::never();
    /// Processes that follow this replica's word, and when they last said so.
    std::map<std::string, time_point> m_followers;
    /// Since when a process's digest has differed.
    std::map<std::string, time_point> m_differs_since;
    std::map<std::string, time_point> m_resent_at;
};

} // namespace flaxtiller::shell
