#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace flaxtiller::stand_in
{

/// @brief What a stand-in backend server does; each key can be changed at run time by POST /control.
struct behaviour
{
    int slots = 2;
    double work_ms = 5.0;
    double straggler_share = 0.0;
    double straggler_ms = 100.0;
    /// `queue` or `shed`.
    std::string when_full = "queue";
    double shed_retry_ms = 5.0;
    std::vector<std::string> versions{"1"};
    int shard = 0;
    int shards = 1;
    /// Refuses new work and says so.
    bool leaving = false;
    /// `obey`, `ignore`, or `slow`: the confirmation comes late.
    std::string cancel = "obey";
    double cancel_slow_ms = 50.0;
    /// Share of answers that carry another request's identity.
    double wrong_identity_share = 0.0;
    /// Share of requests whose connection is cut after the work began.
    double cut_share = 0.0;
    /// Share of requests answered by an empty error.
    double error_share = 0.0;
    /// What GET /health says, true or not.
    std::string health_state = "live";
    double health_load = 0.0;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(behaviour, slots, work_ms, straggler_share, straggler_ms,
                                                when_full, shed_retry_ms, versions, shard, shards, leaving,
                                                cancel, cancel_slow_ms, wrong_identity_share, cut_share,
                                                error_share, health_state, health_load)

} // namespace flaxtiller::stand_in
