#include <flaxtiller/query/query_request.hpp>

#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/core/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

constexpr double max_deadline_ms = 600000.0;
constexpr std::size_t max_key_bytes = 256;

void read_shards(json_reader& reader, std::vector<int>& into)
{
    const nlohmann::json* list = reader.take("shards");
    if (list == nullptr || (list->is_string() && *list == "all"))
    {
        return;
    }
    const auto is_shard = [](const nlohmann::json& j)
    {
        return j.is_number_integer() && j.get<std::int64_t>() >= 0;
    };
    if (!list->is_array() || list->empty() || !std::all_of(list->begin(), list->end(), is_shard))
    {
        reader.found().error(errc::wrong_type, reader.at("shards"),
                             "must be \"all\" or a list of shard numbers");
        return;
    }
    into = list->get<std::vector<int>>();
    std::sort(into.begin(), into.end());
    into.erase(std::unique(into.begin(), into.end()), into.end());
}

void check_key(json_reader& reader, const query_request& request)
{
    if (request.repeatable)
    {
        return;
    }
    if (request.key.empty() || request.key.str().size() > max_key_bytes)
    {
        reader.found().error(errc::missing_key, reader.at("key"),
                             "a request that may not be repeated needs a key of 1 to 256 bytes");
    }
    if (request.key_time_ms <= 0)
    {
        reader.found().error(errc::missing_key, reader.at("key_time_ms"),
                             "must say when the key was made, in Unix milliseconds");
    }
    if (request.shards.size() != 1)
    {
        reader.found().error(errc::out_of_range, reader.at("shards"),
                             "a request that may not be repeated names exactly one shard");
    }
}

} // namespace

std::uint64_t query_request::digest() const
{
    std::string hashed_text = service.str() + '\0' + body + '\0' + std::to_string(key_time_ms);
    for (const int shard : shards)
    {
        hashed_text += '\0' + std::to_string(shard);
    }
    return hash64(hashed_text);
}

void to_json(nlohmann::json& j, const query_request& value)
{
    j = {{"service", value.service},
         {"body", value.body},
         {"deadline_ms", value.deadline.ms()},
         {"repeatable", value.repeatable}};
    if (!value.shards.empty())
    {
        j["shards"] = value.shards;
    }
    if (!value.key.empty())
    {
        j["key"] = value.key;
        j["key_time_ms"] = value.key_time_ms;
    }
}

query_request parse_query_request(const nlohmann::json& document, findings& found)
{
    query_request request;
    json_reader reader(document, "", found);
    std::string service;
    std::string key;
    double deadline_ms = request.deadline.ms();
    reader.require("service");
    reader.text("service", service);
    read_shards(reader, request.shards);
    if (const nlohmann::json* body = reader.take("body"))
    {
        request.body = body->is_string() ? body->get<std::string>() : body->dump();
    }
    reader.number("deadline_ms", deadline_ms, 1.0, max_deadline_ms);
    reader.flag("repeatable", request.repeatable);
    reader.text("key", key);
    reader.number("key_time_ms", request.key_time_ms, std::int64_t{0}, std::int64_t{1} << 52);
    reader.finish();
    request.service = service_name(std::move(service));
    request.key = request_key(std::move(key));
    request.deadline = duration::from_ms(deadline_ms);
    check_key(reader, request);
    return request;
}

} // namespace flaxtiller
