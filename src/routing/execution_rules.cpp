#include <flaxtiller/routing/execution_rules.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

execution_rules rules_of(const route& matched_route)
{
    return {matched_route.top_records, matched_route.most_attempts, matched_route.repeatable};
}

// An array, as for the request that the rules are sent with.

void to_json(nlohmann::json& j, const execution_rules& value)
{
    j = nlohmann::json::array({value.top_records, value.most_attempts, value.repeatable});
}

void from_json(const nlohmann::json& j, execution_rules& value)
{
    value.top_records = std::max(j.at(0).get<int>(), 0);
    value.most_attempts = std::max(j.at(1).get<int>(), 1);
    value.repeatable = j.at(2).get<bool>();
}

} // namespace flaxtiller
