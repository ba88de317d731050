#include <flaxtiller/catalog/configuration.hpp>

#include "configuration_keys.hpp"

#include <flaxtiller/core/json_reader.hpp>

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

namespace flaxtiller
{

using namespace detail;

namespace
{

constexpr int max_shards = 4096;
constexpr int max_slots = 1024;
constexpr int max_connections = 65535;
constexpr double max_requests_per_s = 1e9;
constexpr std::size_t max_request_bytes = std::size_t{1} << 30U;
constexpr double hour_ms = 3600000.0;
/// Larger JSON numbers are not represented exactly by all implementations.
constexpr std::int64_t max_version = std::int64_t{1} << 53U;

template <typename Map>
nlohmann::json values_of(const Map& map)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, item] : map)
    {
        list.push_back(item);
    }
    return list;
}

bool is_label_value(const nlohmann::json& value)
{
    return value.is_string();
}

void read_labels(json_reader& reader, const char* key, labels& into)
{
    const nlohmann::json* object = reader.take(key);
    if (object == nullptr)
    {
        return;
    }
    if (!object->is_object())
    {
        reader.found().error(errc::wrong_type, reader.at(key), "must be an object of strings");
        return;
    }
    for (const auto& [label, value] : object->items())
    {
        if (!is_label_value(value))
        {
            reader.found().error(errc::wrong_type, reader.at(key) + "/" + label, "must be a string");
            continue;
        }
        into[label] = value.get<std::string>();
    }
}

bool is_accepted_list(const nlohmann::json& value)
{
    if (value.is_null() || value.is_string())
    {
        return true;
    }
    return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), is_label_value);
}

void read_selector(json_reader& reader, const char* key, selector& into)
{
    const nlohmann::json* object = reader.take(key);
    if (object == nullptr)
    {
        return;
    }
    if (!object->is_object())
    {
        reader.found().error(errc::wrong_type, reader.at(key), "must be an object");
        return;
    }
    for (const auto& [label, value] : object->items())
    {
        if (!is_accepted_list(value))
        {
            reader.found().error(errc::wrong_type, reader.at(key) + "/" + label,
                                 "must be a string, a non-empty list of strings, or null");
            return;
        }
    }
    into = object->get<selector>();
}

bool is_address(const std::string& address)
{
    constexpr std::size_t max_digits = 5;
    constexpr unsigned long max_port = 65535;
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon + 1 == address.size() ||
        address.size() - colon - 1 > max_digits ||
        address.find_first_not_of("0123456789", colon + 1) != std::string::npos ||
        std::stoul(address.substr(colon + 1)) > max_port)
    {
        return false;
    }
    in6_addr parsed{};
    const std::string ip = address.substr(0, colon);
    return inet_pton(AF_INET, ip.c_str(), &parsed) == 1 || inet_pton(AF_INET6, ip.c_str(), &parsed) == 1;
}

void read_address(json_reader& reader, std::string& into)
{
    reader.require("address");
    reader.text("address", into);
    if (!is_address(into))
    {
        reader.found().error(errc::address_malformed, reader.at("address"), "must be IP:port");
    }
}

void read_item(json_reader& reader, service& into)
{
    reader.name(into.name);
    read_labels(reader, "labels", into.labels);
    reader.number("shards", into.shards, 1, max_shards);
    reader.number("extra_load_share", into.extra_load_share, 0.0, 1.0);
    reader.number("connection_limit", into.connection_limit, 0, max_connections);
    double warmup_ms = into.warmup.ms();
    reader.number("warmup_ms", warmup_ms, 0.0, hour_ms);
    into.warmup = duration::from_ms(warmup_ms);
    reader.number("warmup_requests_per_s", into.warmup_requests_per_s, 0.0, max_requests_per_s);
}

void read_item(json_reader& reader, backend_server& into)
{
    reader.name(into.name);
    read_labels(reader, "labels", into.labels);
    read_address(reader, into.address);
    reader.text("availability_zone", into.availability_zone);
    reader.number("slots", into.slots, 1, max_slots);
    reader.number("connection_limit", into.connection_limit, 1, max_connections);
    reader.flag("leaving", into.leaving);
}

void read_item(json_reader& reader, placement_rule& into)
{
    reader.require("name");
    reader.text("name", into.name);
    read_selector(reader, "services", into.services);
    read_selector(reader, "backend_servers", into.backend_servers);
    reader.text("shard_label", into.shard_label);
}

void read_item(json_reader& reader, instance& into)
{
    reader.name(into.name);
    read_address(reader, into.address);
    reader.text("region", into.region);
    reader.text("availability_zone", into.availability_zone);
    reader.flag("leaving", into.leaving);
}

template <typename Map>
void read_list(json_reader& reader, const char* key, Map& into)
{
    const nlohmann::json* list = reader.take(key);
    if (list == nullptr)
    {
        return;
    }
    if (!list->is_array())
    {
        reader.found().error(errc::wrong_type, reader.at(key), "must be a list");
        return;
    }
    std::set<typename Map::key_type> seen;
    for (std::size_t i = 0; i < list->size() && !reader.found().is_full(); ++i)
    {
        const std::string place = reader.at(key) + "/" + std::to_string(i);
        typename Map::mapped_type item;
        json_reader item_reader((*list)[i], place, reader.found());
        read_item(item_reader, item);
        item_reader.finish();
        if (!seen.insert(item.name).second)
        {
            reader.found().error(errc::duplicate_name, place + "/name", "stands twice in this list");
        }
        into.insert_or_assign(item.name, std::move(item));
    }
}

void read_limits(json_reader& reader, request_limits& into)
{
    const nlohmann::json* object = reader.take(limits_key);
    if (object == nullptr)
    {
        return;
    }
    json_reader inner(*object, reader.at(limits_key), reader.found());
    double header_ms = into.header_timeout.ms();
    double idle_ms = into.idle_timeout.ms();
    inner.number("header_bytes", into.header_bytes, std::size_t{1}, max_request_bytes);
    inner.number("body_bytes", into.body_bytes, std::size_t{0}, max_request_bytes);
    inner.number("header_timeout_ms", header_ms, 1.0, hour_ms);
    inner.number("idle_timeout_ms", idle_ms, 1.0, hour_ms);
    inner.finish();
    into.header_timeout = duration::from_ms(header_ms);
    into.idle_timeout = duration::from_ms(idle_ms);
}

void read_evacuated_zones(json_reader& reader, std::set<std::string>& into)
{
    if (const nlohmann::json* list = reader.names(evacuated_zones_key))
    {
        into = list->get<std::set<std::string>>();
    }
}

void read_document(json_reader& reader, configuration& into)
{
    read_list(reader, services_key, into.services);
    read_list(reader, backend_servers_key, into.backend_servers);
    read_list(reader, placement_rules_key, into.placement_rules);
    read_list(reader, instances_key, into.instances);
    read_list(reader, routes_key, into.routes);
    read_list(reader, teams_key, into.teams);
    reader.text(key_secret_key, into.key_secret);
    read_limits(reader, into.limits);
    read_evacuated_zones(reader, into.evacuated_zones);
    reader.number(version_key, into.version, std::int64_t{0}, max_version);
    reader.finish();
}

template <typename Map>
void remove_names(json_reader& reader, const char* key, Map& from)
{
    const nlohmann::json* list = reader.names(key);
    for (std::size_t i = 0; list != nullptr && i < list->size() && !reader.found().is_full(); ++i)
    {
        const auto name = typename Map::key_type((*list)[i].template get<std::string>());
        if (from.erase(name) == 0)
        {
            reader.found().error(errc::unknown_name, reader.at(key) + "/" + std::to_string(i),
                                 "nothing of this name is declared");
        }
    }
}

} // namespace

void to_json(nlohmann::json& j, const service& value)
{
    j = {{"name", value.name},
         {"labels", value.labels},
         {"shards", value.shards},
         {"extra_load_share", value.extra_load_share},
         {"connection_limit", value.connection_limit},
         {"warmup_ms", value.warmup.ms()},
         {"warmup_requests_per_s", value.warmup_requests_per_s}};
}

void to_json(nlohmann::json& j, const backend_server& value)
{
    j = {{"name", value.name},       {"labels", value.labels},
         {"address", value.address}, {"availability_zone", value.availability_zone},
         {"slots", value.slots},     {"connection_limit", value.connection_limit},
         {"leaving", value.leaving}};
}

void to_json(nlohmann::json& j, const instance& value)
{
    j = {{"name", value.name},
         {"address", value.address},
         {"region", value.region},
         {"availability_zone", value.availability_zone},
         {"leaving", value.leaving}};
}

void to_json(nlohmann::json& j, const placement_rule& value)
{
    j = {{"name", value.name},
         {"services", value.services},
         {"backend_servers", value.backend_servers},
         {"shard_label", value.shard_label}};
}

void to_json(nlohmann::json& j, const request_limits& value)
{
    j = {{"header_bytes", value.header_bytes},
         {"body_bytes", value.body_bytes},
         {"header_timeout_ms", value.header_timeout.ms()},
         {"idle_timeout_ms", value.idle_timeout.ms()}};
}

void to_json(nlohmann::json& j, const configuration& value)
{
    j = {{services_key, values_of(value.services)},
         {backend_servers_key, values_of(value.backend_servers)},
         {placement_rules_key, values_of(value.placement_rules)},
         {instances_key, values_of(value.instances)},
         {routes_key, values_of(value.routes)},
         {teams_key, values_of(value.teams)},
         {key_secret_key, value.key_secret},
         {limits_key, value.limits},
         {evacuated_zones_key, value.evacuated_zones},
         {version_key, value.version}};
}

void configuration::share_with(const configuration& before)
{
    const auto share = [](auto& own, const auto& other)
    {
        if (own == other)
        {
            own = other;
        }
    };
    share(services, before.services);
    share(backend_servers, before.backend_servers);
    share(placement_rules, before.placement_rules);
    share(instances, before.instances);
    share(routes, before.routes);
    share(teams, before.teams);
}

configuration configuration::without_keys() const
{
    configuration hashed = *this;
    for (const auto& [name, item] : teams)
    {
        hashed.teams.insert_or_assign(name, item.without_keys(key_secret));
    }
    return hashed;
}

configuration parse_configuration(const nlohmann::json& document, findings& found)
{
    configuration parsed;
    json_reader reader(document, "", found);
    read_document(reader, parsed);
    return parsed;
}

configuration apply_patch(const configuration& base, const nlohmann::json& patch, findings& found)
{
    configuration patched = base;
    json_reader reader(patch, "", found);
    if (const nlohmann::json* names = reader.take("remove"))
    {
        json_reader remove(*names, "/remove", found);
        remove_names(remove, services_key, patched.services);
        remove_names(remove, backend_servers_key, patched.backend_servers);
        remove_names(remove, placement_rules_key, patched.placement_rules);
        remove_names(remove, instances_key, patched.instances);
        remove_names(remove, routes_key, patched.routes);
        remove_names(remove, teams_key, patched.teams);
        remove.finish();
    }
    if (const nlohmann::json* items = reader.take("upsert"))
    {
        json_reader upsert(*items, "/upsert", found);
        read_document(upsert, patched);
    }
    reader.finish();
    return patched;
}

} // namespace flaxtiller
