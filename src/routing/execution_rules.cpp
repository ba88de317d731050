#include <flaxtiller/routing/execution_rules.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

execution_rules rules_of(const route& matched_route)
{
    return {matched_route.top_records};
}

// An array, as for the request that the rules are sent with.

void to_json(nlohmann::json& j, const execution_rules& value)
{
    j = nlohmann::json::array({value.top_records});
}

void from_json(const nlohmann::json& j, execution_rules& value)
{
    value.top_records = std::max(j.at(0).get<int>(), 0);
}

} // namespace flaxtiller
