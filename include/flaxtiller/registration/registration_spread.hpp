#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief Decides what a control replica tells of the registered backend servers, to whom and when.
/// Deterministic.
///
/// Other replicas are told what was heard here, and the instances that follow this replica all changes. Who
/// has another digest for a while gets the whole list. It answers a start of all instances and backend
/// servers at once: what a slow or unreachable peer causes is bounded by a rate, one whole list serves all
/// that need it, and whoever merely lags isn't sent more.
class registration_spread
{
  public:
    /// Backend servers that come share a message if they come within this; one that leaves is told of at
    /// once.
    static constexpr duration gather = duration::from_ms(100);
    /// What was sent whole isn't sent again before this: the receiver may know more, and what that is comes
    /// by itself.
    static constexpr duration resend_after = duration::from_ms(5000);
    /// A digest that differs for this long isn't just a change on its way.
    static constexpr duration differs_bound = duration::from_ms(1500);
    /// Between replicas that all hear new backend servers, digests differ all the while.
    static constexpr duration differs_bound_in_flux = duration::from_ms(15000);
    /// The pause between two whole lists, and how it grows with them: they take a small part of the time.
    static constexpr duration whole_every = duration::from_ms(250);
    static constexpr duration whole_pause_per_item = duration::from_ms(0.2);
    /// The pause between two messages of changes grows with their receivers.
    static constexpr duration pause_per_receiver = duration::from_ms(1.0);
    /// Instances that follow another replica are told while that can't be reached, this often and this much.
    static constexpr duration elsewhere_every = duration::from_ms(500);
    static constexpr std::size_t most_items_elsewhere = 64;

    /// @brief Something to send.
    struct outgoing
    {
        std::vector<std::string> to;
        /// All that is known, in place of @ref changes.
        bool whole = false;
        std::vector<registration> changes;

        bool operator==(const outgoing&) const = default;
    };

    /// @brief Tells which are the other control replicas.
    void set_replicas(std::set<std::string> others);

    /// @return the other control replicas
    const std::set<std::string>& replicas() const noexcept
    {
        return m_replicas;
    }

    /// @brief The registry changed.
    /// @param own whether by a word that was received here, not by another replica's
    /// @param digest the registry's digest since
    void on_changes(const std::vector<registration>& changes, bool own, std::uint64_t digest, time_point now);

    /// @brief What changed is told without waiting for more: all of an earlier life was taken in.
    void hurry(time_point now) noexcept
    {
        m_spread_at = std::min(m_spread_at, now);
    }

    /// @brief A peer told the digest of what it knows.
    /// @param own what this replica knows
    /// @return whether it is to be sent the whole list since its digest differs for long
    bool on_digest(const std::string& from, std::uint64_t digest, std::uint64_t own, time_point now);

    /// @brief A peer may know nothing: it gets the whole list soon.
    void send_whole(const std::string& peer);

    /// @brief The link to a peer broke.
    void on_lost(const std::string& peer);

    /// @return whether @ref take has something to send
    bool is_due(time_point now) const noexcept;

    /// @param reachable the peers that have a link
    /// @param known how many backend servers are known
    /// @return what to send now
    std::vector<outgoing> take(const std::set<std::string>& reachable, std::size_t known, time_point now);

  private:
    struct receivers
    {
        std::vector<std::string> replicas;
        std::vector<std::string> followers;
        std::vector<std::string> elsewhere;
    };

    bool are_changes_due(time_point now) const noexcept;
    bool is_whole_due(time_point now) const noexcept;
    bool is_elsewhere_due(time_point now) const noexcept;
    time_point changed_at() const noexcept;
    receivers sort(const std::set<std::string>& reachable, time_point now) const;
    bool was_here_lately(std::uint64_t digest, time_point now) const;
    void spread(const receivers& to, bool cut_off, time_point now, std::vector<outgoing>& into);
    void tell_elsewhere(const receivers& to, std::vector<outgoing>& into);
    void tell_whole(const std::set<std::string>& reachable, std::size_t known, time_point now,
                    std::vector<outgoing>& into);

    std::set<std::string> m_replicas;
    /// Changes by words received here, and all changes; when they are told, and not before when.
    std::vector<registration> m_own;
    std::vector<registration> m_all;
    time_point m_spread_at = time_point::never();
    time_point m_pause_until{};
    std::vector<registration> m_elsewhere;
    time_point m_elsewhere_at = time_point::never();
    std::set<std::string> m_wants_whole;
    time_point m_whole_pause_until{};
    /// Instances that follow this replica, and when they last told their digest.
    std::map<std::string, time_point> m_followers;
    /// Since when a peer's digest has differed, and when it was sent the whole list.
    std::map<std::string, time_point> m_differs_since;
    std::map<std::string, time_point> m_sent_whole_at;
    /// The registry's digests of the last seconds: who has one of them merely lags.
    std::deque<std::pair<time_point, std::uint64_t>> m_digests;
};

} // namespace flaxtiller
