#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace flaxtiller
{

/// @brief The number of requests that an entry admitted for a team.
struct limit_usage
{
    team_name team;
    std::int64_t requests = 0;

    bool operator==(const limit_usage&) const = default;
};

/// @brief A request of a team that waits for the decision of the rate limit coordinator.
struct limit_request
{
    std::uint64_t number = 0;
    team_name team;

    bool operator==(const limit_request&) const = default;
};

/// @brief A report of an entry to the rate limit coordinator: the admitted requests, and requests that wait
/// for a decision.
///
/// The rate limit coordinator is the control replica that accounts for the requests of all entries; see
/// @ref rate_limit_coordinator.
struct limit_report
{
    /// Identifies the report in the answer. The content of an unanswered report is sent again in a report
    /// with another number.
    std::uint64_t number = 0;
    /// The number of entries as known to the sender; 0 if unknown.
    int entries = 0;
    std::vector<limit_usage> usage;
    std::vector<limit_request> pending_requests;
    /// Whether the receiver is a witness, that is, a control replica other than the coordinator. It accounts
    /// for the usage and doesn't answer.
    bool for_witness = false;

    bool operator==(const limit_report&) const = default;
};

/// @brief The answer to a @ref limit_request.
struct limit_decision
{
    std::uint64_t number = 0;
    bool granted = false;
    /// The time after which the limit has room for a request that was not granted.
    duration retry_after{};

    bool operator==(const limit_decision&) const = default;
};

/// @brief The status of the limit of a team.
struct limit_status
{
    team_name team;
    /// Whether the team has used up its limit. Each further request then needs a decision of the rate limit
    /// coordinator.
    bool limited = false;
    /// The time until the coordinator can grant the next request.
    duration exhausted_for{};

    bool operator==(const limit_status&) const = default;
};

/// @brief A message of the rate limit coordinator to an entry: the answer to a report, or a change of status
/// that goes to all entries.
struct limit_update
{
    /// The number of the answered report; 0 for a message to all entries.
    std::uint64_t number = 0;
    std::vector<limit_decision> request_decisions;
    std::vector<limit_status> statuses;

    bool operator==(const limit_update&) const = default;
};

void to_json(nlohmann::json& j, const limit_report& value);
void from_json(const nlohmann::json& j, limit_report& value);
void to_json(nlohmann::json& j, const limit_update& value);
void from_json(const nlohmann::json& j, limit_update& value);

} // namespace flaxtiller
