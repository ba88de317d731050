#include <flaxtiller/teams/team.hpp>

#include <flaxtiller/core/region_set_reader.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

namespace
{

constexpr int highest_priority = 1000;
constexpr double max_requests_per_s = 1e9;

void read_keys(json_reader& reader, std::vector<std::string>& into)
{
    const nlohmann::json* list = reader.names("keys");
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        into.push_back((*list)[i].get<std::string>());
        if (into.back().empty())
        {
            reader.found().error(errc::out_of_range, reader.at("keys") + "/" + std::to_string(i),
                                 "must not be empty");
        }
    }
}

void read_digests(json_reader& reader, std::vector<key_digest>& into)
{
    const nlohmann::json* list = reader.names("key_digests");
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        key_digest read;
        if (!key_digest::parse((*list)[i].get<std::string>(), read))
        {
            reader.found().error(errc::out_of_range, reader.at("key_digests") + "/" + std::to_string(i),
                                 "must be a digest");
        }
        into.push_back(read);
    }
}

void read_priority(json_reader& reader, std::optional<int>& into)
{
    if (reader.has("priority"))
    {
        int priority = 0;
        reader.number("priority", priority, 0, highest_priority);
        into = priority;
    }
}

} // namespace

team team::without_keys(const std::string& secret) const
{
    team redacted = *this;
    redacted.keys.clear();
    redacted.key_digests.clear();
    for (const std::string& key : keys)
    {
        redacted.key_digests.emplace_back(secret, key);
    }
    return redacted;
}

void to_json(nlohmann::json& j, const team& value)
{
    j = {{"name", value.name}, {"requests_per_s", value.limit.requests_per_s}, {"burst", value.limit.burst}};
    if (!value.keys.empty())
    {
        j["keys"] = value.keys;
    }
    if (!value.key_digests.empty())
    {
        j["key_digests"] = value.key_digests;
    }
    if (value.priority)
    {
        j["priority"] = *value.priority;
    }
    if (!value.allowed_regions.is_any())
    {
        j["allowed_regions"] = value.allowed_regions;
    }
}

void read_item(json_reader& reader, team& into)
{
    reader.name(into.name);
    read_keys(reader, into.keys);
    read_digests(reader, into.key_digests);
    read_priority(reader, into.priority);
    reader.number("requests_per_s", into.limit.requests_per_s, 0.0, max_requests_per_s);
    reader.number("burst", into.limit.burst, 0.0, max_requests_per_s);
    read_allowed_regions(reader, into.allowed_regions);
}

} // namespace flaxtiller
