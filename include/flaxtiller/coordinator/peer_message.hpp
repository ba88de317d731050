#pragma once

#include <flaxtiller/query/subquery_result.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A subquery that one entry instance asks another to run, because that one owns the shard.
struct peer_subquery
{
    std::uint64_t number = 0;
    int shard = 0;
    index_version version;
    /// Time left when it was sent; moments of different instances aren't comparable.
    duration time_left{};
    bool repeatable = true;
    /// What to send to the backend server; subqueries of one query share it, also on the wire.
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

/// @return the subqueries as JSON, each different body once
nlohmann::json subqueries_to_json(const std::vector<peer_subquery>& subqueries);

/// @brief Reads what @ref subqueries_to_json made.
/// @throw nlohmann::json::exception if it is malformed
std::vector<peer_subquery> subqueries_from_json(const nlohmann::json& j);

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(peer_result, number, result)

} // namespace flaxtiller
