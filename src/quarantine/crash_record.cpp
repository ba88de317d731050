#include <flaxtiller/quarantine/crash_record.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

bool prove_cause(const std::vector<server_crash>& crashes) noexcept
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [](const server_crash& crash)
                       {
                           return crash.on_trial;
                       });
}

static void to_json(nlohmann::json& j, const server_crash& value)
{
    j = {{"server", value.server}, {"born_ms", value.born_ms}, {"on_trial", value.on_trial}};
}

static void from_json(const nlohmann::json& j, server_crash& value)
{
    value.server = j.at("server").get<backend_server_name>();
    value.born_ms = j.at("born_ms").get<std::int64_t>();
    value.on_trial = j.at("on_trial").get<bool>();
}

void to_json(nlohmann::json& j, const crash_record& value)
{
    j = {{"request", value.request},
         {"crashes", value.crashes},
         {"cleared", value.cleared},
         {"age_ms", value.age.ms()}};
}

void from_json(const nlohmann::json& j, crash_record& value)
{
    value.request = j.at("request").get<request_fingerprint>();
    value.crashes = j.at("crashes").get<std::vector<server_crash>>();
    value.cleared = j.at("cleared").get<bool>();
    value.age = duration::from_ms(j.at("age_ms").get<double>());
}

} // namespace flaxtiller
