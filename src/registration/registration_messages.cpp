#include <flaxtiller/registration/registration_messages.hpp>

namespace flaxtiller
{

// The last keys of each of these are optional. An older process ignores them.

void to_json(nlohmann::json& j, const registration_update& value)
{
    j = {{"whole", value.whole}, {"items", value.items}, {"settled", value.settled}};
    if (value.confirm)
    {
        j["confirm"] = *value.confirm;
    }
}

void from_json(const nlohmann::json& j, registration_update& value)
{
    value.whole = j.at("whole").get<bool>();
    value.items = j.at("items").get<std::vector<registration>>();
    value.settled = j.at("settled").get<bool>();
    if (j.contains("confirm"))
    {
        value.confirm = j.at("confirm").get<deregistration_number>();
    }
}

void to_json(nlohmann::json& j, const registration_heard& value)
{
    j = {{"items", value.items}};
    if (!value.saved.empty())
    {
        j["saved"] = value.saved;
    }
}

void from_json(const nlohmann::json& j, registration_heard& value)
{
    value.items = j.at("items").get<std::vector<heartbeat_receipt>>();
    value.saved = j.value("saved", std::vector<deregistration_number>{});
}

} // namespace flaxtiller
