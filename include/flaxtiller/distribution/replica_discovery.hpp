#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Decides which peers a process without contact to a leader asks for the control replicas. The class
/// is a deterministic state machine without I/O.
///
/// Each round a few reachable peers are asked, others in the next round, so that the work of all processes
/// that ask at once is bounded. The order differs between processes. While too few peers are reachable, some
/// of the known ones are to be dialled.
class replica_discovery
{
  public:
    /// The number of peers that are asked in one round. One may be cut off, too, and one may be gone.
    static constexpr std::size_t peers_per_round = 3;
    /// The time between two rounds. A peer that becomes reachable is asked at once if the round has asked
    /// fewer peers than that.
    static constexpr duration round_interval = duration::from_ms(1000);
    /// The time until peers that became reachable meanwhile are asked, too.
    static constexpr duration choice_interval = duration::from_ms(100);
    /// The time for which the same peers are dialled: several attempts.
    static constexpr duration dial_interval = duration::from_ms(2000);

    /// @param seed determines the order in which peers are chosen
    explicit replica_discovery(std::uint64_t seed) noexcept : m_seed(seed)
    {
    }

    /// @return whether @ref choose may choose peers now
    bool is_choice_due(time_point now) const noexcept
    {
        return now >= m_round_ends || (m_current.asked.size() < peers_per_round && now >= m_next_choice_at);
    }

    /// @brief Chooses the peers to ask now.
    /// @param reachable the reachable peers
    /// @param fresh_number the number of the requests if a new round begins; drawn at random
    /// @return the chosen peers; the requests bear @ref number
    std::vector<std::string> choose(const std::set<std::string>& reachable, std::uint64_t fresh_number,
                                    time_point now);

    /// @return the number of the requests of this round
    std::uint64_t number() const noexcept
    {
        return m_current.number;
    }

    /// @brief Processes a reply.
    /// @return whether the peer was asked with this number in this round or the one before
    bool is_awaited(const std::string& from, std::uint64_t number) const;

    /// @param reachable the number of reachable peers
    /// @return whether other peers are to be dialled than at the last call of @ref choose_peers_to_dial
    bool is_dial_due(std::size_t reachable, time_point now) const noexcept
    {
        return reachable < peers_per_round && now >= m_next_dial_at;
    }

    /// @return the peers that are to be dialled, out of those that are known
    std::vector<std::string> choose_peers_to_dial(const std::set<std::string>& known, time_point now);

    /// @brief Ends the search: there is contact to a leader.
    void end() noexcept;

  private:
    struct round
    {
        std::uint64_t number = 0;
        std::set<std::string> asked;
    };

    std::vector<std::string> first_by_hash(const std::set<std::string>& names, std::uint64_t salt,
                                           std::size_t most) const;

    std::uint64_t m_seed;
    std::uint64_t m_rounds = 0;
    std::uint64_t m_dials = 0;
    time_point m_round_ends{};
    time_point m_next_choice_at{};
    time_point m_next_dial_at{};
    round m_current;
    round m_previous;
};

} // namespace flaxtiller::distribution
