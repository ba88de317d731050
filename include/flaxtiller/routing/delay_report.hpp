#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/time_point.hpp>

namespace flaxtiller
{

/// @brief The delay that an owner of shards stated with its last outcome.
struct delay_report
{
    instance_name owner;
    /// The time that a newly delegated group would wait at the owner.
    duration delay{};
    /// The time at which the report arrived.
    time_point received_at{};

    bool operator==(const delay_report&) const = default;
};

} // namespace flaxtiller
