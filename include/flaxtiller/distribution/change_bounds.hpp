#pragma once

#include <flaxtiller/core/duration.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

/// @brief The times within which changes take effect, as agreed with the operator. Timeouts on the way of a
/// change are derived from them.
///
/// A time of zero is not agreed.
struct change_bounds
{
    /// After a disturbance of its connections, an instance applies changes in time again after this.
    duration contact;
    /// A change is in force at each instance this long after it was acknowledged.
    duration apply;
    /// A backend server that was reported to leave receives no new requests after this.
    duration drain;
    /// A change is acknowledged this long after it was sent.
    duration acknowledge;

    bool operator==(const change_bounds&) const = default;

    /// @return the shortest agreed time; zero if there is none
    duration shortest() const noexcept
    {
        duration least;
        for (const duration bound : {contact, apply, drain, acknowledge})
        {
            const bool shorter = least == duration{} || bound < least;
            least = bound > duration{} && shorter ? bound : least;
        }
        return least;
    }
};

} // namespace flaxtiller::distribution
