#pragma once

#include "links/link_message.hpp"

#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string_view>

namespace flaxtiller::shell
{

/// @brief Counters and latencies of one process. Thread-safe.
class metrics
{
  public:
    /// @brief What is counted.
    enum class counter
    {
        queries,
        answers_whole,
        answers_partial,
        answers_refused,
        answers_unknown,
        subqueries_local,
        subqueries_for_peers,
        subqueries_to_peers,
        attempts,
        cancels,
        foreign_answers,
        /// Bytes of backend servers that aren't an answer.
        malformed_answers,
        connections_opened,
        malformed_requests,
        /// Load reports of backend servers that could not be read, and were ignored.
        malformed_load_reports,
        /// Requests that admission control refused: expected after the deadline, expected after the
        /// objective, and beyond the bound on open requests.
        refused_past_deadline,
        refused_past_objective,
        refused_too_many_open,
        /// Requests refused since the configuration lacks their target, and isn't confirmed.
        refused_unconfirmed,
        /// Requests refused before they were read completely: too large, too slow, malformed, or beyond the
        /// memory for requests.
        unread_requests_refused,
        /// Requests that became suspect of crashing backend servers, and those that were found to.
        requests_suspected,
        requests_quarantined,
        /// Groups of shards that were delegated to their second owner, as the first one reported a longer
        /// delay.
        groups_to_second_owner,
        link_messages_sent,
        link_bytes_sent,
        count_,
    };

    /// @brief What is timed.
    enum class timer
    {
        query,
        attempt,
        count_,
    };

    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// @brief Adds to a counter.
    void add(counter which, std::uint64_t amount = 1) noexcept;

    /// @brief Adds to what was sent on links, by the kind of message (its position in link_message).
    void add_link_bytes(std::size_t kind, std::uint64_t bytes) noexcept;

    /// @return bytes sent on links so far, by kind of message; kinds that weren't sent are left out
    nlohmann::json link_bytes() const;

    /// @brief Takes in one latency.
    void observe(timer which, duration latency);

    /// @return all counters, and quantiles of all timers
    nlohmann::json dump() const;

  private:
    struct timers;

    std::atomic<std::uint64_t> m_counters[static_cast<std::size_t>(counter::count_)]{};
    std::atomic<std::uint64_t> m_link_bytes[link_message_kinds]{};
    std::unique_ptr<timers> m_timers;
};

} // namespace flaxtiller::shell
