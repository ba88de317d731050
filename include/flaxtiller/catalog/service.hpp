#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

namespace flaxtiller
{

/// @brief A search service, whose index is split into numbered shards.
struct service
{
    service_name name;
    flaxtiller::labels labels;
    /// The number of shards, which are numbered from 0.
    int shards = 1;
    /// The maximum number of additional attempts, as a share of the answered subqueries.
    double extra_load_share = 0.045;
    /// The number of connections that each registered backend server of the service accepts; 0 for no limit.
    int connection_limit = 0;
    /// The warm-up time of the service's registered backend servers after a start, unless their registration
    /// gives another value.
    duration warmup{};
    /// The rate of requests per second that a backend server sustains during its warm-up, from all instances
    /// together; 0 for no limit.
    double warmup_requests_per_s = 0.0;

    bool operator==(const service&) const = default;
};

void to_json(nlohmann::json& j, const service& value);

} // namespace flaxtiller
