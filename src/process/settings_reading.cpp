#include "settings_reading.hpp"

#include <flaxtiller/routing/shard_plan.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

std::string line_of(const std::string& text, const std::string& file, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return file + ":" + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

} // namespace

nlohmann::json parse_json(const std::string& text, const std::string& file, findings& found)
{
    try
    {
        return nlohmann::json::parse(text, nullptr, true, /*ignore_comments=*/true);
    }
    catch (const nlohmann::json::parse_error& malformed)
    {
        found.error(errc::document_malformed, line_of(text, file, malformed.byte), malformed.what());
        return nlohmann::json();
    }
}

std::string read_file(const std::string& path, findings& found)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
    {
        found.error(errc::document_unreadable, path, "can't be opened");
        return {};
    }
    try
    {
        return {std::istreambuf_iterator<char>(stream), {}};
    }
    catch (const std::ios_base::failure&)
    {
        found.error(errc::document_unreadable, path, "can't be read");
        return {};
    }
}

namespace detail
{

namespace
{

void read_links(json_reader& reader, link_timing& into)
{
    read_ms(reader, "heartbeat_ms", into.heartbeat, 1.0, hour_ms);
    read_ms(reader, "silence_ms", into.silence, 1.0, hour_ms);
    read_ms(reader, "redial_ms", into.redial, 1.0, hour_ms);
    if (into.silence <= into.heartbeat)
    {
        reader.found().error(errc::key_conflict, reader.at("silence_ms"), "must exceed heartbeat_ms");
    }
}

void read_bounds(json_reader& reader, distribution::change_bounds& into)
{
    read_ms(reader, "contact_ms", into.contact, 1.0, hour_ms);
    read_ms(reader, "apply_ms", into.apply, 1.0, hour_ms);
    read_ms(reader, "drain_ms", into.drain, 1.0, hour_ms);
    read_ms(reader, "acknowledge_ms", into.acknowledge, 1.0, hour_ms);
}

} // namespace

void read_ms(json_reader& reader, const char* key, duration& into, double low, double high)
{
    double ms = into.ms();
    reader.number(key, ms, low, high);
    into = duration::from_ms(ms);
}

void read_address(json_reader& reader, const char* key, address& into, bool required)
{
    if (required)
    {
        reader.require(key);
    }
    std::string text;
    reader.text(key, text);
    if (text.empty())
    {
        return;
    }
    const auto parsed = parse_address(text);
    if (!parsed)
    {
        reader.found().error(errc::address_malformed, reader.at(key), "must be IP:port, not " + text);
        return;
    }
    into = *parsed;
}

void read_identity(json_reader& reader, identity_settings& into)
{
    reader.require("name");
    reader.text("name", into.name);
    reader.text("region", into.region);
    reader.text("availability_zone", into.availability_zone);
    if (into.name.empty())
    {
        reader.found().error(errc::out_of_range, reader.at("name"), "must not be empty");
    }
}

void read_named_addresses(json_reader& reader, const char* key, std::vector<named_address>& into)
{
    reader.require(key);
    const nlohmann::json* list = reader.take(key);
    if (list == nullptr)
    {
        return;
    }
    if (!list->is_array() || list->empty())
    {
        reader.found().error(errc::wrong_type, reader.at(key), "must be a non-empty list");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        named_address item;
        json_reader inner((*list)[i], reader.at(key) + "/" + std::to_string(i), reader.found());
        inner.require("name");
        inner.text("name", item.name);
        read_address(inner, "address", item.at, true);
        inner.finish();
        const auto same = [&](const named_address& other)
        {
            return other.name == item.name;
        };
        if (std::any_of(into.begin(), into.end(), same))
        {
            reader.found().error(errc::duplicate_name, inner.at("name"), item.name + " stands twice");
        }
        into.push_back(std::move(item));
    }
}

void read_log(json_reader& reader, log_level& into)
{
    std::string level = "info";
    reader.text("level", level);
    constexpr const char* known[] = {"debug", "info", "warning", "error"};
    if (std::find(std::begin(known), std::end(known), level) == std::end(known))
    {
        reader.found().error(errc::out_of_range, reader.at("level"),
                             "must be debug, info, warning or error, not " + level);
        return;
    }
    into = parse_log_level(level);
}

void read_link_times(json_reader& reader, distribution::change_bounds& bounds, link_timing& links)
{
    read_section(reader, "bounds", false,
                 [&](json_reader& r)
                 {
                     read_bounds(r, bounds);
                 });
    const bool is_bounded = bounds.shortest() > duration{};
    links = is_bounded ? link_timing_within(bounds) : links;
    const duration longest_detection = links.redial;
    read_section(reader, "links", false,
                 [&](json_reader& r)
                 {
                     read_links(r, links);
                 });
    if (is_bounded && std::max(links.silence, links.redial) > longest_detection)
    {
        reader.found().error(errc::key_conflict, reader.at("links"),
                             "silence_ms and redial_ms must not exceed half of the shortest of /bounds");
    }
}

void read_seeds(json_reader& reader, std::vector<named_address>& into)
{
    int link_port = 0;
    constexpr int highest_port = 65535;
    reader.number("link_port", link_port, 0, highest_port);
    const nlohmann::json* list = reader.take("seeds");
    if (list == nullptr || !list->is_array())
    {
        reader.found().error(errc::missing_key, reader.at("seeds"), "must be a list of IP:port");
        return;
    }
    for (std::size_t i = 0; i < list->size(); ++i)
    {
        auto parsed = (*list)[i].is_string() ? parse_address((*list)[i].get<std::string>()) : std::nullopt;
        if (!parsed)
        {
            reader.found().error(errc::address_malformed, reader.at("seeds") + "/" + std::to_string(i),
                                 "must be IP:port");
            continue;
        }
        parsed->port = link_port > 0 ? static_cast<std::uint16_t>(link_port) : parsed->port;
        into.push_back({parsed->str(), *parsed});
    }
}

void read_process_limits(json_reader& reader, process_limits& into, int request_bytes)
{
    constexpr int least_memory_mb = 64;
    constexpr int most_memory_mb = 1 << 20;
    constexpr int most_descriptors = 1 << 20;
    reader.number("memory_mb", into.memory_mb, least_memory_mb, most_memory_mb);
    reader.number("descriptors", into.descriptors, 0, most_descriptors);
    const std::size_t most_request_bytes = bounds_of(into).requests.lone_bytes;
    if (reader.has("request_bytes") && static_cast<std::size_t>(request_bytes) > most_request_bytes)
    {
        reader.found().error(errc::key_conflict, reader.at("request_bytes"),
                             "must not exceed " + std::to_string(most_request_bytes) +
                                 ", what memory_mb leaves for one request");
    }
}

void read_zones(json_reader& reader, std::map<std::string, std::string>& into)
{
    const nlohmann::json* zones = reader.take("availability_zones");
    if (zones == nullptr)
    {
        return;
    }
    const bool texts = zones->is_object() && std::all_of(zones->begin(), zones->end(),
                                                         [](const nlohmann::json& region)
                                                         {
                                                             return region.is_string();
                                                         });
    if (!texts)
    {
        reader.found().error(errc::wrong_type, reader.at("availability_zones"),
                             "must be an object of strings");
        return;
    }
    if (zones->size() > shard_plan::max_locations)
    {
        reader.found().error(errc::out_of_range, reader.at("availability_zones"),
                             "must be at most " + std::to_string(shard_plan::max_locations));
        return;
    }
    into = zones->get<std::map<std::string, std::string>>();
}

void check_distinct(const std::vector<std::pair<std::string, address>>& used, findings& found)
{
    for (std::size_t i = 0; i < used.size(); ++i)
    {
        for (std::size_t j = i + 1; j < used.size(); ++j)
        {
            if (used[i].second == used[j].second && used[i].second.port != 0)
            {
                found.error(errc::key_conflict, used[j].first,
                            used[j].second.str() + " is also the address of " + used[i].first);
            }
        }
    }
}

} // namespace detail

} // namespace flaxtiller::shell
