#include <flaxtiller/teams/limit_message.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

// Arrays are shorter than objects, and most requests cause one of each message.

static void to_json(nlohmann::json& j, const limit_usage& value)
{
    j = nlohmann::json::array({value.team, value.requests});
}

static void from_json(const nlohmann::json& j, limit_usage& value)
{
    value.team = j.at(0).get<team_name>();
    value.requests = j.at(1).get<std::int64_t>();
}

static void to_json(nlohmann::json& j, const limit_request& value)
{
    j = nlohmann::json::array({value.number, value.team});
}

static void from_json(const nlohmann::json& j, limit_request& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.team = j.at(1).get<team_name>();
}

static void to_json(nlohmann::json& j, const limit_decision& value)
{
    j = nlohmann::json::array({value.number, value.granted, value.retry_after.us()});
}

static void from_json(const nlohmann::json& j, limit_decision& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.granted = j.at(1).get<bool>();
    value.retry_after = duration::from_us(j.at(2).get<std::int64_t>());
}

static void to_json(nlohmann::json& j, const limit_status& value)
{
    j = nlohmann::json::array({value.team, value.limited, value.exhausted_for.us()});
}

static void from_json(const nlohmann::json& j, limit_status& value)
{
    value.team = j.at(0).get<team_name>();
    value.limited = j.at(1).get<bool>();
    value.exhausted_for = duration::from_us(j.at(2).get<std::int64_t>());
}

void to_json(nlohmann::json& j, const limit_report& value)
{
    j = nlohmann::json::array({value.number, value.entries, value.usage, value.pending_requests});
    if (value.for_witness)
    {
        j.push_back(true);
    }
}

void from_json(const nlohmann::json& j, limit_report& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.entries = j.at(1).get<int>();
    value.usage = j.at(2).get<std::vector<limit_usage>>();
    value.pending_requests = j.at(3).get<std::vector<limit_request>>();
    constexpr std::size_t witness_position = 4;
    value.for_witness = j.size() > witness_position && j.at(witness_position).get<bool>();
}

void to_json(nlohmann::json& j, const limit_update& value)
{
    j = nlohmann::json::array({value.number, value.request_decisions, value.statuses});
}

void from_json(const nlohmann::json& j, limit_update& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.request_decisions = j.at(1).get<std::vector<limit_decision>>();
    value.statuses = j.at(2).get<std::vector<limit_status>>();
}

} // namespace flaxtiller
