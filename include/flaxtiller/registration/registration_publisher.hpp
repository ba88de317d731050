#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/digest_timing.hpp>
#include <flaxtiller/registration/pending_changes.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief Decides which registrations a control replica sends to which peers, and when. Deterministic.
///
/// The other control replicas receive the changes that arrived here from backend servers; that one is leaving
/// or left, at once, since it is confirmed to the backend server at the same time. The followers, which are
/// the instances that follow this replica, receive all changes. A peer whose digest of the registry
/// differs for too long receives the full list.
///
/// The traffic stays bounded when all instances and backend servers start at the same time: messages to slow
/// or unreachable peers are limited by a rate, one full list serves all peers that need it, and a peer that
/// merely lags behind receives no additional messages.
class registration_publisher
{
  public:
    /// The minimum pause between two full lists, and the pause per list item. The pause grows with the list,
    /// so that sending lists takes a small part of the time.
    static constexpr duration full_list_interval = duration::from_ms(250);
    static constexpr duration full_list_pause_per_item = duration::from_ms(0.2);
    /// The pause between two messages of changes to the followers, per follower.
    static constexpr duration pause_per_follower = duration::from_ms(1.0);
    /// Instances that follow an unreachable replica receive changes from this one, at this interval: all that
    /// leave, and this number of others at most.
    static constexpr duration non_follower_interval = duration::from_ms(500);
    static constexpr std::size_t max_items_to_non_followers = 64;

    /// @brief A message to send.
    struct outgoing
    {
        std::vector<std::string> to;
        /// Whether the message carries the full list of registrations, in place of @ref changes.
        bool whole = false;
        std::vector<registration> changes;

        bool operator==(const outgoing&) const = default;
    };

    /// @param timing when a peer whose digest differs is sent the full list
    explicit registration_publisher(digest_timing timing = {}) noexcept : m_timing(timing)
    {
    }

    /// @brief Sets the names of the other control replicas.
    void set_replicas(std::set<std::string> others);

    /// @return the other control replicas
    const std::set<std::string>& replicas() const noexcept
    {
        return m_replicas;
    }

    /// @brief Handles changes of the registry.
    /// @param own whether the changes came directly from backend servers, not from another replica
    /// @param digest the digest of the registry after the changes
    void on_changes(const std::vector<registration>& changes, bool own, std::uint64_t digest, time_point now);

    /// @brief Sends the other replicas registrations that they may lack.
    void relay_to_replicas(const std::vector<registration>& items, time_point now);

    /// @brief Makes the collected changes due without waiting for the end of the batch. For use after the
    /// registrations of the previous run of this process were restored, when no further changes are expected.
    void expedite_changes(time_point now) noexcept
    {
        m_to_replicas.expedite(now);
        m_to_followers.expedite(now);
    }

    /// @brief Makes the changes due that the other replicas haven't been sent. For use before they are sent
    /// anything that is about these changes, as links keep the order of messages.
    void expedite_changes_to_replicas(time_point now) noexcept
    {
        m_to_replicas.expedite(now);
    }

    /// @brief Handles the registry digest of a peer. An instance that begins to follow, or whose link was
    /// lost, may lack changes that were sent before, even if its digest is a recent one.
    /// @param own the registry digest of this replica
    /// @return whether the mismatch lasted so long that the peer will be sent the full list
    bool on_digest(const std::string& from, std::uint64_t digest, std::uint64_t own, time_point now);

    /// @brief Schedules the full list for a peer that may know no registrations.
    void request_full_list(const std::string& peer);

    /// @brief Handles the loss of the link to a peer.
    void on_lost(const std::string& peer, time_point now);

    /// @return whether @ref take would return messages
    bool is_due(time_point now) const noexcept;

    /// @brief Removes and returns the messages that are due.
    /// @param reachable the peers that have a link
    /// @param known the number of known backend servers
    std::vector<outgoing> take(const std::set<std::string>& reachable, std::size_t known, time_point now);

  private:
    struct instances
    {
        std::vector<std::string> followers;
        std::vector<std::string> non_followers;
    };

    bool is_full_list_due(time_point now) const noexcept;
    bool are_non_followers_due(time_point now) const noexcept;
    time_point last_change_at() const noexcept;
    std::vector<std::string> reachable_replicas(const std::set<std::string>& reachable) const;
    instances sort_instances(const std::set<std::string>& reachable, time_point now) const;
    /// @return for how long the registry has had another digest than this earlier one of it; nothing if it
    /// never had it, or long ago
    /// @complexity O(digests of the last seconds)
    std::optional<duration> lag_of(std::uint64_t digest, time_point now) const;
    /// @return whether changes are sent to the instance, which reported its digest lately
    bool is_follower(const std::string& peer, time_point now) const;
    void send_to_replicas(const std::vector<std::string>& replicas, time_point now,
                          std::vector<outgoing>& output);
    void send_to_instances(const instances& to, bool replica_unreachable, time_point now,
                           std::vector<outgoing>& output);
    void send_to_followers(const instances& to, bool replica_unreachable, time_point now,
                           std::vector<outgoing>& output);
    void add_for_non_followers(const std::vector<registration>& changes, time_point now);
    void send_to_non_followers(const instances& to, std::vector<outgoing>& output);
    void send_full_list(const std::set<std::string>& reachable, std::size_t known, time_point now,
                        std::vector<outgoing>& output);

    digest_timing m_timing;
    std::set<std::string> m_replicas;
    /// The changes that came directly from backend servers.
    pending_changes m_to_replicas;
    /// All changes.
    pending_changes m_to_followers;
    std::vector<registration> m_non_follower_changes;
    /// The number of them that are available backend servers.
    std::size_t m_non_follower_available = 0;
    time_point m_non_followers_due_at = time_point::never();
    std::set<std::string> m_full_list_pending;
    time_point m_full_list_paused_until{};
    /// The instances that follow this replica, with the time of their last digest.
    std::map<std::string, time_point> m_followers;
    /// The time since which the digest of a peer differs, and the time of the last full list to a peer.
    std::map<std::string, time_point> m_mismatch_since;
    std::map<std::string, time_point> m_full_list_sent_at;
    /// The peers whose links were lost since their last digests, with the times. Changes may be lost with a
    /// link, so that a digest that differs doesn't mean that the changes are in transit.
    std::map<std::string, time_point> m_link_lost_at;
    /// The recent digests of the registry, with the times since which it had them.
    std::deque<std::pair<time_point, std::uint64_t>> m_digests;
};

} // namespace flaxtiller
