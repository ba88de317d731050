#include <flaxtiller/routing/routed_json.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

NLOHMANN_JSON_SERIALIZE_ENUM(routed_end, {{routed_end::refused, "refused"},
                                          {routed_end::merged, "merged"},
                                          {routed_end::no_route, "no_route"},
                                          {routed_end::failed, "failed"},
                                          {routed_end::late, "late"},
                                          {routed_end::passed_on, "passed_on"}})

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

void to_json(nlohmann::json& j, const routed_request& value)
{
    j = {{"id", value.id},
         {"method", value.method},
         {"host", value.host},
         {"target", value.target},
         {"headers", value.headers},
         {"body", value.body},
         {"patience_us", value.patience.us()},
         {"revision", value.asked_revision},
         {"services", value.asked_services},
         {"answer_within_us", value.answer_within.us()},
         {"progress_within_us", value.progress_within.us()},
         {"again", value.asked_again}};
}

void from_json(const nlohmann::json& j, routed_request& value)
{
    value.id = j.at("id").get<std::string>();
    value.method = j.at("method").get<std::string>();
    value.host = j.at("host").get<std::string>();
    value.target = j.at("target").get<std::string>();
    value.headers = j.at("headers").get<header_list>();
    value.body = j.at("body").get<std::string>();
    value.patience = duration::from_us(j.at("patience_us").get<std::int64_t>());
    value.asked_revision = j.at("revision").get<std::int64_t>();
    value.asked_services = j.at("services").get<std::vector<service_name>>();
    value.answer_within = duration::from_us(j.at("answer_within_us").get<std::int64_t>());
    value.progress_within = duration::from_us(j.at("progress_within_us").get<std::int64_t>());
    value.asked_again = j.at("again").get<bool>();
}

void to_json(nlohmann::json& j, const routed_outcome& value)
{
    j = {{"end", value.end},
         {"progress", value.is_progress},
         {"merged", value.merged},
         {"signatures", value.signatures},
         {"missing", value.missing},
         {"missing_services", value.missing_services},
         {"reason", value.reason},
         {"retry_after_us", value.retry_after.us()},
         {"attempts", value.attempts},
         {"took_us", value.took.us()}};
}

void from_json(const nlohmann::json& j, routed_outcome& value)
{
    value.end = j.at("end").get<routed_end>();
    value.is_progress = j.at("progress").get<bool>();
    value.merged = j.at("merged").get<std::string>();
    value.signatures = j.at("signatures").get<std::vector<std::string>>();
    value.missing = j.at("missing").get<int>();
    value.missing_services = j.at("missing_services").get<std::vector<service_name>>();
    value.reason = j.at("reason").get<missing_reason>();
    value.retry_after = duration::from_us(j.at("retry_after_us").get<std::int64_t>());
    value.attempts = j.at("attempts").get<int>();
    value.took = duration::from_us(j.at("took_us").get<std::int64_t>());
}

} // namespace flaxtiller
