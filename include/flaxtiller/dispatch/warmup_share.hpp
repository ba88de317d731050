#pragma once

#include <cstddef>

namespace flaxtiller::dispatch
{

/// @brief The capacity of a cold backend server, which all instances together must not exceed.
///
/// A backend server is cold while it warms up after a start.
struct warmup_bound
{
    double requests_per_s = 0.0;
    /// In any one second, the backend server may receive up to requests_per_s * overage + slack requests.
    double overage = 1.0;
    double slack = 0.0;

    bool operator==(const warmup_bound&) const = default;
};

/// @brief The requests that one instance may send to a cold backend server.
struct warmup_share
{
    double requests_per_s = 0.0;
    /// The number of requests that the instance may send at once: zero, or at least one.
    double burst = 0.0;

    bool operator==(const warmup_share&) const = default;
};

/// @brief Divides the capacity of a cold backend server among instances that do not coordinate their sending.
///
/// In any second an instance sends at most its burst plus its rate, and the sum of these over all instances
/// stays within the bound. A share of less than one request could either never be used or would exceed the
/// bound if all instances rounded it up. Where there are more instances than whole requests, the instances
/// with the lowest ranks therefore get one request each and the others get none.
///
/// The bound protects the backend servers of an availability zone that returns cold while all of its load is
/// waiting. Part of the bound is reserved for the time in which instances disagree about the senders; see
/// @c reserved_share in the source.
///
/// @param bound the capacity of the backend server
/// @param senders the number of instances that may send, this instance included
/// @param rank the position of this instance among the senders, from 0, in an order common to all instances
/// @return the share of this instance
warmup_share warmup_share_of(const warmup_bound& bound, std::size_t senders, std::size_t rank) noexcept;

} // namespace flaxtiller::dispatch
