#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace flaxtiller
{

/// @brief Requests that an entry admitted for a team.
struct limit_usage
{
    team_name team;
    std::int64_t requests = 0;

    bool operator==(const limit_usage&) const = default;
};

/// @brief A request that waits for the leader's word.
struct limit_request
{
    std::uint64_t number = 0;
    team_name team;

    bool operator==(const limit_request&) const = default;
};

/// @brief From an entry to the control replica that keeps the limits: what it admitted, and what it asks for.
struct limit_report
{
    /// Named again by the answer; a report that isn't answered is sent again under another number.
    std::uint64_t number = 0;
    /// How many entries there are, as far as the sender knows; 0 where it doesn't.
    int entries = 0;
    std::vector<limit_usage> usage;
    std::vector<limit_request> pending_requests;

    bool operator==(const limit_report&) const = default;
};

/// @brief The answer to one @ref limit_ask.
struct limit_decision
{
    std::uint64_t number = 0;
    bool granted = false;
    /// Of a request that isn't granted: when the team's limit lets it through.
    duration retry_after{};

    bool operator==(const limit_decision&) const = default;
};

/// @brief Whether a team has used up its limit.
struct limit_status
{
    team_name team;
    /// While it is, each request must be asked for.
    bool limited = false;
    /// Until then the leader has nothing to grant.
    duration exhausted_for{};

    bool operator==(const limit_status&) const = default;
};

/// @brief From the control replica that keeps the limits to an entry.
struct limit_update
{
    /// The report that it answers; 0 for news to all entries.
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
