#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/core/time_point.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace flaxtiller::dispatch
{

/// @brief Identity of a subquery within one scheduler.
using subquery_id = std::uint64_t;

/// @brief Identity of an attempt: one sending of a subquery to one backend server.
using attempt_id = std::uint64_t;

/// @brief What the parts of one fan-out know of one another.
struct fan_out_progress
{
    /// Whether some part was answered.
    bool any_answered = false;
    /// Late parts that were sent to a second backend server.
    int sent_again = 0;
};

/// @brief One shard's part of a query, to be run on one of the shard's backend servers.
struct subquery
{
    subquery_id id = 0;
    int shard = 0;
    /// The index version that the answer must be made from; empty for whatever is newest.
    index_version version;
    time_point deadline = time_point::never();
    /// Whether it may be run more than once.
    bool repeatable = true;
    /// Backend servers that it may be sent to; 0 for as many as the scheduler allows.
    int most_attempts = 0;
    /// Whether another instance may have run it already: its first attempt is paid for like a further one.
    bool again = false;
    /// Where it may be run by two instances that don't know of each other's attempts: both use this backend
    /// server and at most one other, and the one that runs it again only this one. Together they stay within
    /// two.
    backend_server_name designated;
    /// Set for a part of a fan-out. While none of them is answered, it may be the request that is slow rather
    /// than the backend servers, so that only a few late parts are sent to a second one.
    std::shared_ptr<fan_out_progress> fan_out;
    /// Whether it is held from the start; see scheduler::hold.
    bool held = false;
    /// The regions whose backend servers it may be sent to; null for all.
    std::shared_ptr<const region_set> regions;
    /// How long it takes, as a multiple of what is usual for the service; latencies are compared by it.
    double size = 1.0;
    /// What is sent; not looked at.
    std::shared_ptr<const std::string> body;

    bool operator==(const subquery&) const = default;
};

} // namespace flaxtiller::dispatch
