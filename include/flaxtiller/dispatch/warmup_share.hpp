#pragma once

#include <cstddef>

namespace flaxtiller::dispatch
{

/// @brief What a cold backend server bears from all instances together.
struct warmup_bound
{
    double requests_per_s = 0.0;
    /// In any one second it may get this many times as much, and so many requests more.
    double overage = 1.0;
    double slack = 0.0;

    bool operator==(const warmup_bound&) const = default;
};

/// @brief What one instance may send to a cold backend server.
struct warmup_share
{
    double requests_per_s = 0.0;
    /// Requests that it may send at once: one at least, or none at all.
    double burst = 0.0;

    bool operator==(const warmup_share&) const = default;
};

/// @brief The share of one of several instances that don't see what the others send.
///
/// The sum over all of them stays under the bound in any second, as each sends at most its burst and what a
/// second brings. A share of less than a whole request couldn't be spent, or would be overspent by all
/// together; so where there are more instances than whole requests, the first ones get one each, and the
/// others none.
///
/// It answers a zone that comes back cold while all of its load waits for it. Of the bound, a part is kept
/// back for instances that count other senders for a moment; see @c kept_back in the source.
///
/// @param senders the instances that may send, this one included
/// @param rank this one's place among them, from 0, in an order that all agree on
warmup_share warmup_share_of(const warmup_bound& bound, std::size_t senders, std::size_t rank) noexcept;

} // namespace flaxtiller::dispatch
