#include <flaxtiller/query/query_answer.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

bool same_bodies(const query_answer& a, const query_answer& b)
{
    return std::equal(a.covered.begin(), a.covered.end(), b.covered.begin(), b.covered.end(),
                      [](const auto& x, const auto& y)
                      {
                          const bool both = x.second != nullptr && y.second != nullptr;
                          return x.first == y.first && (both ? *x.second == *y.second : x.second == y.second);
                      });
}

} // namespace

bool query_answer::operator==(const query_answer& other) const
{
    return outcome == other.outcome && version == other.version && revision == other.revision &&
           missing == other.missing && retry_after == other.retry_after && refusal == other.refusal &&
           repeated == other.repeated && same_bodies(*this, other);
}

void to_json(nlohmann::json& j, const query_answer& value)
{
    j = {{"outcome", value.outcome}, {"complete", value.is_complete()}, {"revision", value.revision}};
    if (!value.version.empty())
    {
        j["index_version"] = value.version;
    }
    j["shards_covered"] = nlohmann::json::array();
    j["results"] = nlohmann::json::array();
    for (const auto& [shard, body] : value.covered)
    {
        j["shards_covered"].push_back(shard);
        j["results"].push_back({{"shard", shard}, {"body", body ? *body : ""}});
    }
    j["shards_missing"] = nlohmann::json::array();
    for (const auto& [shard, reason] : value.missing)
    {
        j["shards_missing"].push_back({{"shard", shard}, {"reason", reason}});
    }
    if (value.retry_after > duration{})
    {
        j["retry_after_ms"] = value.retry_after.ms();
    }
    if (value.refusal != errc::ok)
    {
        j["error"] = {{"code", static_cast<int>(value.refusal)},
                      {"message", make_error_code(value.refusal).message()}};
    }
    if (value.repeated)
    {
        j["repeated"] = true;
    }
}

void from_json(const nlohmann::json& j, query_answer& value)
{
    value = {};
    value.outcome = j.at("outcome").get<outcome>();
    value.revision = j.at("revision");
    value.version = index_version(j.value("index_version", std::string()));
    for (const auto& result : j.at("results"))
    {
        value.covered[result.at("shard").get<int>()] =
            std::make_shared<const std::string>(result.at("body").get<std::string>());
    }
    for (const auto& missing : j.at("shards_missing"))
    {
        value.missing[missing.at("shard").get<int>()] = missing.at("reason").get<missing_reason>();
    }
    value.retry_after = duration::from_ms(j.value("retry_after_ms", 0.0));
    if (j.contains("error"))
    {
        value.refusal = static_cast<errc>(j.at("error").at("code").get<int>());
    }
    value.repeated = j.value("repeated", false);
}

} // namespace flaxtiller
