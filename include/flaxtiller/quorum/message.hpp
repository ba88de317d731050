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

/// @brief Requests a vote for the sender. With @ref pre_vote set, the request only asks whether the receiver
/// would grant its vote, and changes no state of the receiver.
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

/// @brief Entries of the leader's log. A request without entries is a heartbeat.
struct append_request
{
    log_index previous_index = 0;
    term_number previous_term = 0;
    log_index commit = 0;
    /// The leader's clock at the time of sending, in microseconds. The receiver echoes the value; the leader
    /// compares it with its own clock only.
    std::int64_t sent_at_us = 0;
    std::vector<log_entry> entries;

    bool operator==(const append_request&) const = default;
};

/// @brief Answers an @ref append_request or an @ref install_request.
struct append_reply
{
    bool success = false;
    /// On success, the last index that is synced and agrees with the leader's log. Otherwise, a hint from
    /// which index the leader should try next.
    log_index match = 0;
    std::int64_t sent_at_us = 0;

    bool operator==(const append_reply&) const = default;
};

/// @brief A complete snapshot, for a replica whose next entries the leader no longer has in its log.
struct install_request
{
    snapshot base;
    std::int64_t sent_at_us = 0;

    bool operator==(const install_request&) const = default;
};

/// @brief Asks a voter whether it is the leader. Sent by a replica after a restart; see
/// @ref previous_lease_check.
struct leadership_query
{
    /// Identifies the current run of the sender; the reply echoes the value.
    std::uint64_t replica_run = 0;

    bool operator==(const leadership_query&) const = default;
};

/// @brief Answers a @ref leadership_query.
struct leadership_reply
{
    std::uint64_t replica_run = 0;
    bool leads = false;
    /// The newest member set in the log of the replying replica, committed or not.
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
    /// The incarnation of the receiver that the message is addressed to; 0 if the sender does not know it.
    incarnation_id to_incarnation = 0;
    term_number term = 0;
    message_body body;

    bool operator==(const message&) const = default;
};

} // namespace flaxtiller::quorum
