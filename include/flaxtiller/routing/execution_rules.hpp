#pragma once

#include <flaxtiller/routing/route.hpp>

#include <nlohmann/json_fwd.hpp>

#include <limits>

namespace flaxtiller
{

/// @brief What a route prescribes for the answer of a request.
///
/// All entries that run shards of a request go by the rules of the entry that took it. Their own revisions of
/// the configuration may differ for a short time, and parts of an answer that are made by different rules
/// don't fit together.
struct execution_rules
{
    /// The value of @ref top_records with which no record is left out.
    static constexpr int all_records = std::numeric_limits<int>::max();

    /// See route::top_records.
    int top_records = all_records;
    /// See route::most_attempts.
    int most_attempts = 1;
    /// See route::repeatable.
    bool repeatable = false;

    bool operator==(const execution_rules&) const = default;
};

/// @return the rules of a route
execution_rules rules_of(const route& matched_route);

void to_json(nlohmann::json& j, const execution_rules& value);
void from_json(const nlohmann::json& j, execution_rules& value);

} // namespace flaxtiller
