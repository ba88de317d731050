#include <flaxtiller/coordinator/peer_message.hpp>

#include <flaxtiller/core/error.hpp>

#include <map>

namespace flaxtiller
{

void to_json(nlohmann::json& j, const duration& value)
{
    j = value.us();
}

void from_json(const nlohmann::json& j, duration& value)
{
    value = duration::from_us(j.get<std::int64_t>());
}

void to_json(nlohmann::json& j, const subquery_result& value)
{
    j = {{"shard", value.shard},
         {"outcome", value.outcome},
         {"reason", value.reason},
         {"version", value.version},
         {"held_versions", value.held_versions},
         {"retry_after", value.retry_after},
         {"estimated_wait", value.estimated_wait}};
    if (value.body)
    {
        j["body"] = *value.body;
    }
}

void from_json(const nlohmann::json& j, subquery_result& value)
{
    value = {};
    value.shard = j.at("shard");
    value.outcome = j.at("outcome").get<outcome>();
    value.reason = j.at("reason").get<missing_reason>();
    value.version = j.at("version").get<index_version>();
    value.held_versions = j.at("held_versions").get<std::vector<index_version>>();
    value.retry_after = j.at("retry_after").get<duration>();
    value.estimated_wait = j.at("estimated_wait").get<duration>();
    if (j.contains("body"))
    {
        value.body = std::make_shared<const std::string>(j.at("body").get<std::string>());
    }
}

nlohmann::json subqueries_to_json(const std::vector<peer_subquery>& subqueries)
{
    nlohmann::json j = {{"bodies", nlohmann::json::array()}, {"subqueries", nlohmann::json::array()}};
    std::map<std::shared_ptr<const std::string>, std::size_t> body_indices;
    for (const peer_subquery& item : subqueries)
    {
        const auto [found, is_new] = body_indices.emplace(item.body, body_indices.size());
        if (is_new)
        {
            j["bodies"].push_back(item.body ? *item.body : std::string());
        }
        j["subqueries"].push_back({{"number", item.number},
                                   {"shard", item.shard},
                                   {"shards", item.shards},
                                   {"version", item.version},
                                   {"left", item.time_left},
                                   {"repeatable", item.repeatable},
                                   {"body", found->second}});
    }
    return j;
}

std::vector<peer_subquery> subqueries_from_json(const nlohmann::json& j)
{
    std::vector<std::shared_ptr<const std::string>> bodies;
    for (const auto& body : j.at("bodies"))
    {
        bodies.push_back(std::make_shared<const std::string>(body.get<std::string>()));
    }
    std::vector<peer_subquery> subqueries;
    for (const auto& item : j.at("subqueries"))
    {
        peer_subquery subquery;
        subquery.number = item.at("number");
        subquery.shard = item.at("shard");
        // Absent from messages of older processes.
        subquery.shards = item.value("shards", 0);
        subquery.version = item.at("version").get<index_version>();
        subquery.time_left = item.at("left").get<duration>();
        subquery.repeatable = item.at("repeatable");
        const auto body = item.at("body").get<std::size_t>();
        if (body >= bodies.size())
        {
            throw nlohmann::json::other_error::create(static_cast<int>(errc::message_malformed),
                                                      "no body with this index", &item);
        }
        subquery.body = bodies[body];
        subqueries.push_back(std::move(subquery));
    }
    return subqueries;
}

} // namespace flaxtiller
