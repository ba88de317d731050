#pragma once

#include <flaxtiller/dispatch/subquery.hpp>

namespace flaxtiller::dispatch
{

/// @brief The properties of a queued subquery that determine its place in a @ref work_queue.
struct waiting_subquery
{
    subquery_id id = 0;
    /// See @ref subquery::priority.
    int priority = 0;
    team_name team;
    time_point objective_at = time_point::never();
    time_point deadline = time_point::never();
    /// The time after which the objective can no longer be met; never without an objective.
    time_point late_at = time_point::never();
    /// The expected time in a slot, as a multiple of the usual latency of the service.
    double cost = 1.0;

    bool operator==(const waiting_subquery&) const = default;
};

} // namespace flaxtiller::dispatch
