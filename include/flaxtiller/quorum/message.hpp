#pragma once

#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/snapshot.hpp>
#include <flaxtiller/quorum/types.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief Asks for a vote; with @ref trial set it only asks whether one would be given (pre-vote).
struct vote_request
{
    bool pre_vote = false;
    log_index last_index = 0;
    term_number last_term = 0;

    bool operator==(const vote_request&) const = default;
};

/// @brief Answers a @ref vote_request.
struct vote_reply
{
    bool pre_vote = false;
    bool granted = false;

    bool operator==(const vote_reply&) const = default;
};

/// @brief Entries from the leader, or none as a heartbeat.
struct append_request
{
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit = 0;
    /// The leader's clock when it sent this, in microseconds; echoed, never compared with another clock.
    std::int64_t sent_at_us = 0;
    std::vector<log_entry> entries;

    bool operator==(const append_request&) const = default;
};

/// @brief Answers an @ref append_request or an @ref install_request.
struct append_reply
{
    bool success = false;
    /// On success the last index that is synced and agrees with the leader; else a hint where to try.
    log_index match = 0;
    std::int64_t sent_at_us = 0;

    bool operator==(const append_reply&) const = default;
};

/// @brief A whole snapshot for a replica whose next entries were compacted away.
struct install_request
{
    snapshot base;
    std::int64_t sent_at_us = 0;

    bool operator==(const install_request&) const = default;
};

/// @brief Asks a voter whether it leads. Sent by a replica that restarted; see @ref restart_hold.
struct leadership_query
{
    /// Identifies the asker's present life; echoed.
    std::uint64_t replica_run = 0;

    bool operator==(const leadership_query&) const = default;
};

/// @brief Answers a @ref leadership_query.
struct leadership_reply
{
    std::uint64_t replica_run = 0;
    bool leads = false;
    /// The newest members in the log of the replica that answers, committed or not.
    member_set members;

    bool operator==(const leadership_reply&) const = default;
};

using message_body = std::variant<vote_request, vote_reply, append_request, append_reply, install_request,
                                  leadership_query, leadership_reply>;

/// @brief A message between two replicas of one log.
struct message
{
    replica_name from;
    incarnation_id from_incarnation = 0;
    replica_name to;
    /// The incarnation it is meant for; 0 where the sender doesn't know it.
    incarnation_id to_incarnation = 0;
    term_number term = 0;
    message_body body;

    bool operator==(const message&) const = default;
};

} // namespace flaxtiller::quorum
