#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/distribution/change_bounds.hpp>

namespace flaxtiller
{

/// @brief The times after which a peer whose digest of the registry differs is sent the full list.
struct digest_timing
{
    /// The longest time for which a peer may lack changes that were sent to it: they are in transit.
    duration max_lag = duration::from_ms(10000);
    /// A digest that this replica never had, and that differs for longer, can't be explained by a change in
    /// transit.
    duration mismatch = duration::from_ms(1500);
    /// The same between replicas while registrations change. The digests differ all the time if each replica
    /// receives heartbeats of new backend servers.
    duration mismatch_in_flux = duration::from_ms(15000);
    /// The minimum time between two full lists to the same peer. A remaining difference may mean that the
    /// peer knows more than this replica, and the additional changes arrive without a request.
    duration resend_after = duration::from_ms(5000);
    /// The longest pause between two messages of changes to the followers.
    duration max_pause = duration::from_ms(5000);

    bool operator==(const digest_timing&) const = default;
};

/// @return the times with which an instance that lacks the leaving of a backend server has it within the
/// agreed time, although its first report came too early to show that
digest_timing digest_timing_within(const distribution::change_bounds& bounds) noexcept;

} // namespace flaxtiller
