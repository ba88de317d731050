#pragma once

#include <flaxtiller/query/subquery_result.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A subquery that one entry instance delegates to another, which owns the shard.
struct peer_subquery
{
    std::uint64_t number = 0;
    int shard = 0;
    /// The number of shards of the service in the delegating instance's revision; 0 from processes of older
    /// builds. A shard's position means another part of the index if the number differs.
    int shards = 0;
    index_version version;
    /// The time until the deadline when the message was sent. An absolute time would be useless, since the
    /// clocks of different instances aren't comparable.
    duration time_left{};
    bool repeatable = true;
    /// The request body for the backend server. Subqueries of one query share it, also in messages.
    std::shared_ptr<const std::string> body;

    bool operator==(const peer_subquery&) const = default;
};

/// @brief The result of a @ref peer_subquery.
struct peer_result
{
    std::uint64_t number = 0;
    subquery_result result;

    bool operator==(const peer_result&) const = default;
};

void to_json(nlohmann::json& j, const duration& value);
void from_json(const nlohmann::json& j, duration& value);
void to_json(nlohmann::json& j, const subquery_result& value);
void from_json(const nlohmann::json& j, subquery_result& value);

/// @return the subqueries as JSON, in which equal bodies of one query appear once
nlohmann::json subqueries_to_json(const std::vector<peer_subquery>& subqueries);

/// @brief Parses the output of @ref subqueries_to_json.
/// @throw nlohmann::json::exception if it is malformed
std::vector<peer_subquery> subqueries_from_json(const nlohmann::json& j);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_result, number, result)

} // namespace flaxtiller
