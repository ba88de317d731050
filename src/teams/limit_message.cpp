#include <flaxtiller/teams/limit_message.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

// Lists, not objects: one of each goes with most requests.

static void to_json(nlohmann::json& j, const limit_use& value)
{
    j = nlohmann::json::array({value.team, value.requests});
}

static void from_json(const nlohmann::json& j, limit_use& value)
{
    value.team = j.at(0).get<team_name>();
    value.requests = j.at(1).get<std::int64_t>();
}

static void to_json(nlohmann::json& j, const limit_ask& value)
{
    j = nlohmann::json::array({value.number, value.team});
}

static void from_json(const nlohmann::json& j, limit_ask& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.team = j.at(1).get<team_name>();
}

static void to_json(nlohmann::json& j, const limit_grant& value)
{
    j = nlohmann::json::array({value.number, value.granted, value.retry_after.us()});
}

static void from_json(const nlohmann::json& j, limit_grant& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.granted = j.at(1).get<bool>();
    value.retry_after = duration::from_us(j.at(2).get<std::int64_t>());
}

static void to_json(nlohmann::json& j, const limit_standing& value)
{
    j = nlohmann::json::array({value.team, value.limited, value.dry_for.us()});
}

static void from_json(const nlohmann::json& j, limit_standing& value)
{
    value.team = j.at(0).get<team_name>();
    value.limited = j.at(1).get<bool>();
    value.dry_for = duration::from_us(j.at(2).get<std::int64_t>());
}

void to_json(nlohmann::json& j, const limit_report& value)
{
    j = nlohmann::json::array({value.number, value.entries, value.used, value.asked});
}

void from_json(const nlohmann::json& j, limit_report& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.entries = j.at(1).get<int>();
    value.used = j.at(2).get<std::vector<limit_use>>();
    value.asked = j.at(3).get<std::vector<limit_ask>>();
}

void to_json(nlohmann::json& j, const limit_word& value)
{
    j = nlohmann::json::array({value.number, value.grants, value.standings});
}

void from_json(const nlohmann::json& j, limit_word& value)
{
    value.number = j.at(0).get<std::uint64_t>();
    value.grants = j.at(1).get<std::vector<limit_grant>>();
    value.standings = j.at(2).get<std::vector<limit_standing>>();
}

} // namespace flaxtiller
