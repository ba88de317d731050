#pragma once

#include <flaxtiller/catalog/placement.hpp>

#include <vector>

namespace flaxtiller::dispatch
{

/// @brief Shards of one service that have the same owner lie in groups of this many, so that a query to many
/// shards costs as many messages as there are groups.
inline constexpr int shards_per_owner = 40;

/// @brief How the connections of one backend server are shared among the instances that may own it.
struct connection_share
{
    /// Connections that one instance may hold to the backend server.
    int connections = 1;
    /// Of these, how many may carry subqueries; the rest is for cancels.
    int working = 1;

    bool operator==(const connection_share&) const = default;
};

/// @return how many instances may own a service's backend servers at once.
///
/// Each candidate's share must hold the slots, one attempt ahead and one connection for cancels; one whole
/// share is left over for the moment in which two revisions name different candidates.
int candidate_count(const placed_service& service, int instances);

/// @return the share of one candidate
connection_share share_of(const backend_server& server, int candidates);

/// @return the share of one of so many instances that all send to the backend server directly; there is no
/// connection for cancels, which close the attempt's own
connection_share direct_share_of(const backend_server& server, int instances);

/// @return the instances that may own this group of shards, most preferred first (rendezvous hashing)
std::vector<instance_name> owner_candidates(const service_name& service, int group, const placement& placed);

} // namespace flaxtiller::dispatch
