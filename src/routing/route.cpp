#include <flaxtiller/routing/route.hpp>

#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/core/region_set_reader.hpp>

#include <nlohmann/json.hpp>

#include <numeric>

namespace flaxtiller
{

namespace
{

constexpr double hour_ms = 3600000.0;
constexpr int most_weight = 1000000;
constexpr int max_records = 1000000;
constexpr int highest_priority = 1000;
constexpr int most_attempts_allowed = 100;

void read_span(json_reader& reader, const char* key, duration& into, double least_ms)
{
    double ms = into.ms();
    reader.number(key, ms, least_ms, hour_ms);
    into = duration::from_ms(ms);
}

void read_targets(json_reader& reader, std::vector<weighted_service>& into)
{
    const nlohmann::json* list = reader.take("targets");
    if (list == nullptr)
    {
        return;
    }
    if (!list->is_array())
    {
        reader.found().error(errc::wrong_type, reader.at("targets"), "must be a list");
        return;
    }
    for (std::size_t i = 0; i < list->size() && !reader.found().is_full(); ++i)
    {
        weighted_service target;
        json_reader inner((*list)[i], reader.at("targets") + "/" + std::to_string(i), reader.found());
        std::string service;
        inner.require("service");
        inner.text("service", service);
        inner.number("weight", target.weight, 0, most_weight);
        inner.finish();
        target.service = service_name(std::move(service));
        into.push_back(std::move(target));
    }
}

void read_fan_out(json_reader& reader, std::vector<service_name>& into)
{
    const nlohmann::json* list = reader.names("fan_out");
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        into.emplace_back((*list)[i].get<std::string>());
    }
}

void check_targets(json_reader& reader, const route& value)
{
    if (value.targets.empty() == value.fan_out.empty())
    {
        reader.found().error(errc::key_conflict, reader.at("targets"),
                             "either targets or fan_out must be given");
        return;
    }
    const auto total = std::accumulate(value.targets.begin(), value.targets.end(), std::int64_t{0},
                                       [](std::int64_t sum, const weighted_service& target)
                                       {
                                           return sum + target.weight;
                                       });
    if (!value.fans_out() && total == 0)
    {
        reader.found().error(errc::out_of_range, reader.at("targets"), "the weights add up to zero");
    }
}

} // namespace

std::uint64_t list_id(const std::vector<service_name>& shards)
{
    std::string names;
    for (const service_name& service : shards)
    {
        names += service.str();
        names += '\n';
    }
    return hash64(names) | 1U;
}

void to_json(nlohmann::json& j, const route& value)
{
    j = {{"name", value.name},
         {"host", value.host},
         {"path_prefix", value.path_prefix},
         {"repeatable", value.repeatable},
         {"timeout_ms", value.timeout.ms()},
         {"objective_ms", value.objective.ms()},
         {"priority", value.priority},
         {"most_attempts", value.most_attempts}};
    for (const weighted_service& target : value.targets)
    {
        j["targets"].push_back({{"service", target.service}, {"weight", target.weight}});
    }
    if (value.fans_out())
    {
        j["fan_out"] = value.fan_out;
        j["top_records"] = value.top_records;
        j["least_share"] = value.least_share;
    }
    if (!value.allowed_regions.is_any())
    {
        j["allowed_regions"] = value.allowed_regions;
    }
    if (value.allows_anonymous)
    {
        j["allows_anonymous"] = true;
    }
}

void read_item(json_reader& reader, route& into)
{
    reader.require("name");
    reader.text("name", into.name);
    reader.require("host");
    reader.text("host", into.host);
    reader.require("path_prefix");
    reader.text("path_prefix", into.path_prefix);
    reader.flag("repeatable", into.repeatable);
    // A time-out below a microsecond would be stored as zero, and no request could be answered in time.
    read_span(reader, "timeout_ms", into.timeout, 0.001);
    read_span(reader, "objective_ms", into.objective, 0.0);
    reader.number("priority", into.priority, 0, highest_priority);
    reader.number("most_attempts", into.most_attempts, 1, most_attempts_allowed);
    read_targets(reader, into.targets);
    read_fan_out(reader, into.fan_out);
    read_allowed_regions(reader, into.allowed_regions);
    reader.flag("allows_anonymous", into.allows_anonymous);
    reader.number("top_records", into.top_records, 0, max_records);
    reader.number("least_share", into.least_share, 0.0, 1.0);
    const bool slashes =
        into.path_prefix.size() > 0 && into.path_prefix.front() == '/' && into.path_prefix.back() == '/';
    if (!slashes)
    {
        reader.found().error(errc::out_of_range, reader.at("path_prefix"), "must begin and end with a slash");
    }
    check_targets(reader, into);
}

} // namespace flaxtiller
