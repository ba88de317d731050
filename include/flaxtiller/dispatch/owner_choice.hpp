#pragma once

#include <flaxtiller/catalog/placement.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief The number of consecutive shards of a service that form a group with a common owner.
///
/// A query to many shards is sent to the owners with one message per group.
inline constexpr int shards_per_group = 40;

/// @brief The part of a backend server's connection limit that one instance may use.
struct connection_share
{
    /// The number of connections that one instance may hold to the backend server.
    int connections = 1;
    /// The number of these connections that may carry subqueries; the others are reserved for cancels.
    int for_subqueries = 1;

    bool operator==(const connection_share&) const = default;
};

/// @return the number of instances that may own a service's backend servers at the same time.
///
/// The share of each candidate must cover the slots, one pipelined attempt and one connection for cancels.
/// One additional share is kept free for the time in which instances use two revisions with different
/// candidates.
int candidate_count(const placed_service& service, int instances);

/// @return the connections that one candidate may use
connection_share share_of(const backend_server& server, int candidates);

/// @return the connections that one instance may use where all instances send to the backend server directly.
///
/// No connection is reserved for cancels, because a cancel closes the connection of its attempt.
connection_share direct_share_of(const backend_server& server, int instances);

/// @return the instances that may own a group of shards, most preferred first, by rendezvous hashing
std::vector<instance_name> owner_candidates(const service_name& service, int group, const placement& placed);

} // namespace flaxtiller::dispatch
