#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>

namespace flaxtiller
{

/// @brief The inputs of a decision to delegate a group to its second owner because the first one is slower.
struct owner_shift
{
    /// The owner that is preferred while the delays are equal.
    instance_name first;
    /// The weighted delays of both owners.
    duration first_delay{};
    duration second_delay{};
    /// The part of the group's requests that the second owner runs at these delays.
    double second_share = 0.0;

    bool operator==(const owner_shift&) const = default;
};

} // namespace flaxtiller
