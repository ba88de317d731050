#include <flaxtiller/routing/routed_json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

void to_json(nlohmann::json& j, const entry_peer& value)
{
    j = {{"name", value.name},
         {"region", value.region},
         {"zone", value.availability_zone},
         {"address", value.address}};
}

void from_json(const nlohmann::json& j, entry_peer& value)
{
    value.name = j.at("name").get<instance_name>();
    value.region = j.at("region").get<std::string>();
    value.availability_zone = j.at("zone").get<std::string>();
    value.address = j.at("address").get<std::string>();
}

// Arrays instead of objects: field names would be half of the bytes sent between regions.

void to_json(nlohmann::json& j, const routed_request& value)
{
    j = nlohmann::json::array({value.id, value.method, value.host, value.target, value.headers, value.body,
                               value.patience.us(), value.delegated_list, value.delegated_shards,
                               value.designated, value.answer_within.us(), value.progress_within.us(),
                               value.is_repeated_delegation, value.delegated_regions, value.team});
    // The last element is optional. An older process ignores it.
    if (value.delegated_rules)
    {
        j.push_back(*value.delegated_rules);
    }
}

void from_json(const nlohmann::json& j, routed_request& value)
{
    std::size_t at = 0;
    const auto next = [&]() -> const nlohmann::json&
    {
        return j.at(at++);
    };
    value.id = next().get<std::string>();
    value.method = next().get<std::string>();
    value.host = next().get<std::string>();
    value.target = next().get<std::string>();
    value.headers = next().get<header_list>();
    value.body = next().get<std::string>();
    value.patience = duration::from_us(next().get<std::int64_t>());
    value.delegated_list = next().get<std::uint64_t>();
    value.delegated_shards = next().get<std::vector<std::size_t>>();
    value.designated = next().get<std::vector<backend_server_name>>();
    value.answer_within = duration::from_us(next().get<std::int64_t>());
    value.progress_within = duration::from_us(next().get<std::int64_t>());
    value.is_repeated_delegation = next().get<bool>();
    value.delegated_regions = next().get<region_set>();
    value.team = next().get<team_name>();
    if (at < j.size())
    {
        value.delegated_rules = next().get<execution_rules>();
    }
}

void to_json(nlohmann::json& j, const routed_outcome& value)
{
    j = nlohmann::json::array({static_cast<int>(value.end), value.is_progress, value.merged, value.signatures,
                               value.missing_shards, value.reason, value.retry_after.us(), value.attempts,
                               value.took.us()});
    // The last elements are optional. An older process ignores those that it does not know.
    const bool states_delay = value.runner_delay > duration{};
    if (!value.crashes.empty() || states_delay)
    {
        j.push_back(value.crashes);
    }
    if (states_delay)
    {
        j.push_back(value.runner_delay.us());
    }
}

void from_json(const nlohmann::json& j, routed_outcome& value)
{
    std::size_t at = 0;
    const auto next = [&]() -> const nlohmann::json&
    {
        return j.at(at++);
    };
    value.end = static_cast<routed_end>(std::clamp(next().get<int>(), static_cast<int>(routed_end::passed_on),
                                                   static_cast<int>(routed_end::late)));
    value.is_progress = next().get<bool>();
    value.merged = next().get<std::string>();
    value.signatures = next().get<std::vector<std::string>>();
    value.missing_shards = next().get<std::vector<std::size_t>>();
    value.missing = static_cast<int>(value.missing_shards.size());
    value.reason = next().get<missing_reason>();
    value.retry_after = duration::from_us(next().get<std::int64_t>());
    value.attempts = next().get<int>();
    value.took = duration::from_us(next().get<std::int64_t>());
    if (at < j.size())
    {
        value.crashes = next().get<std::vector<crash_record>>();
    }
    if (at < j.size())
    {
        value.runner_delay = std::max(duration::from_us(next().get<std::int64_t>()), duration{});
    }
}

} // namespace flaxtiller
