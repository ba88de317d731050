#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

namespace flaxtiller
{

/// @brief A search service: an index split into numbered shards.
struct service
{
    service_name name;
    flaxtiller::labels labels;
    /// Shards are numbered from 0 to this number less one.
    int shards = 1;
    /// Attempts beyond the first that may be started, as a share of the subqueries answered.
    double extra_load_share = 0.045;
    /// Connections that each of its registered backend servers accepts; 0 where they aren't limited.
    int connection_limit = 0;
    /// How long each of its registered backend servers is cold after a start, unless it says so itself.
    duration warmup{};
    /// Requests a second that a cold one bears from all instances together; 0 where that isn't limited.
    double warmup_requests_per_s = 0.0;

    bool operator==(const service&) const = default;
};

void to_json(nlohmann::json& j, const service& value);

} // namespace flaxtiller
