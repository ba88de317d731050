#include "settings.hpp"

#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/routing/shard_plan.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

constexpr int most_threads = 256;
constexpr int most_bytes = 1 << 30;
constexpr int hour_ms = 3600000;

std::string line_of(const std::string& text, const std::string& file, std::size_t byte)
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return file + ":" + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

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

template <typename Read>
void read_section(json_reader& reader, const char* key, bool required, Read read)
{
    if (required)
    {
        reader.require(key);
    }
    if (const nlohmann::json* section = reader.take(key))
    {
        json_reader inner(*section, reader.at(key), reader.found());
        read(inner);
        inner.finish();
    }
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

void read_dispatch(json_reader& reader, dispatch::scheduler_options& into)
{
    reader.number("late_quantile", into.overdue_quantile, 0.5, 0.9999);
    reader.number("extra_load_share", into.extra_load_share, 0.0, 1.0);
    reader.number("budget_burst", into.budget_burst, 0.0, 100000.0);
    reader.number("most_attempts", into.most_attempts, 1, 16);
    read_ms(reader, "first_late_after_ms", into.initial_overdue_after, 1.0, hour_ms);
    read_ms(reader, "cancel_bound_ms", into.cancel_confirmation_timeout, 1.0, hour_ms);
    read_ms(reader, "failure_half_life_ms", into.failure_half_life, 0.0, hour_ms);
    reader.number("eject_after", into.eject_after, 1, 1000);
    read_ms(reader, "eject_first_ms", into.min_ejection, 1.0, hour_ms);
    read_ms(reader, "eject_most_ms", into.max_ejection, 1.0, hour_ms);
    if (into.min_ejection > into.max_ejection)
    {
        reader.found().error(errc::key_conflict, reader.at("eject_first_ms"),
                             "must not exceed eject_most_ms");
    }
}

void read_timing(json_reader& reader, quorum::timing& into)
{
    read_ms(reader, "heartbeat_ms", into.heartbeat, 1.0, hour_ms);
    read_ms(reader, "election_min_ms", into.election_min, 1.0, hour_ms);
    read_ms(reader, "election_max_ms", into.election_max, 1.0, hour_ms);
    read_ms(reader, "query_every_ms", into.leadership_query_interval, 1.0, hour_ms);
    read_ms(reader, "early_election_spread_ms", into.early_election_spread, 0.0, hour_ms);
    reader.number("clock_drift", into.clock_drift, 0.0, 0.2);
    constexpr double heartbeats_per_election = 2.0;
    if (into.heartbeat * heartbeats_per_election > into.election_min)
    {
        reader.found().error(errc::key_conflict, reader.at("election_min_ms"),
                             "must be at least twice heartbeat_ms");
    }
    if (into.election_min >= into.election_max)
    {
        reader.found().error(errc::key_conflict, reader.at("election_max_ms"), "must exceed election_min_ms");
    }
}

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

/// Reads the bounds of changes and the times of links, which follow from the bounds unless they are given.
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

/// Checks that a silent report can be noticed and the update fetched from elsewhere within the bound.
void check_report_interval(json_reader& reader, const entry_settings& settings)
{
    constexpr double reports_per_bound = 3.0;
    const duration apply = settings.bounds.apply;
    if (apply > duration{} && settings.report_every * reports_per_bound > apply)
    {
        reader.found().error(errc::key_conflict, reader.at("report_every_ms"),
                             "must not exceed a third of /bounds/apply_ms");
    }
}

void read_load(json_reader& reader, load_options& into)
{
    reader.flag("order_by_priority", into.orders_by_priority);
    reader.flag("read_server_load", into.reads_server_load);
    reader.flag("limit_admission", into.limits_admission);
    reader.flag("balance_owners", into.balances_owners);
    reader.flag("spread_returns", into.spreads_returns);
}

void read_routing(json_reader& reader, router_options& into)
{
    reader.number("objective_share", into.objective_share, 0.0, 1.0);
    read_ms(reader, "way_back_ms", into.response_margin, 0.0, hour_ms);
    reader.number("requests", into.max_open_requests, std::size_t{1}, std::size_t{1} << 30U);
    read_ms(reader, "least_retry_ms", into.min_retry_after, 0.0, hour_ms);
    read_ms(reader, "registration_retry_ms", into.registration_retry, 0.0, hour_ms);
    reader.number("retry_ratio", into.retry_ratio, 0.0, 10.0);
    reader.number("retry_slack", into.retry_slack, 0.0, 1e6);
    read_ms(reader, "retry_window_ms", into.retry_window, 1.0, hour_ms);
    reader.flag("refusals_cost", into.scheduling.charge_refusals);
    reader.number("warmup_overage", into.warmup_overage, 1.0, 100.0);
    reader.number("warmup_slack", into.warmup_slack, 0.0, 1e6);
    read_section(reader, "dispatch", false,
                 [&](json_reader& r)
                 {
                     read_dispatch(r, into.scheduling);
                 });
    read_section(reader, "load", false,
                 [&](json_reader& r)
                 {
                     read_load(r, into.load);
                 });
}

/// Reads addresses of which perhaps only the IP counts: `link_port` takes the place of their ports.
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
    return {std::istreambuf_iterator<char>(stream), {}};
}

namespace
{

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

/// Where the platform kills a process this long after it told it to stop, the stop must take less: requests
/// are taken for two thirds of it, and what is in flight may end in nine tenths.
void read_kill_after(json_reader& reader, int& drain_bound_ms)
{
    constexpr double share = 0.65;
    double kill_after_ms = 0.0;
    reader.number("kill_after_ms", kill_after_ms, 0.0, static_cast<double>(hour_ms));
    if (kill_after_ms > 0.0)
    {
        drain_bound_ms = static_cast<int>(kill_after_ms * share);
    }
}

/// Either `control`, a list of names and addresses, or `seeds`, where the replicas' set forms itself.
void read_control_of(json_reader& reader, std::vector<named_address>& into)
{
    if (reader.has("membership"))
    {
        read_section(reader, "membership", false,
                     [&](json_reader& r)
                     {
                         read_seeds(r, into);
                     });
        return;
    }
    read_named_addresses(reader, "control", into);
}

} // namespace

entry_settings parse_entry_settings(const std::string& text, const std::string& file, findings& found)
{
    entry_settings settings;
    const nlohmann::json document = parse_json(text, file, found);
    if (found.has_errors())
    {
        return settings;
    }
    json_reader reader(document, "", found);
    read_section(reader, "instance", true,
                 [&](json_reader& r)
                 {
                     read_identity(r, settings.instance);
                 });
    read_section(reader, "listen", true,
                 [&](json_reader& r)
                 {
                     // One of the two ways to take requests must be given.
                     read_address(r, "callers", settings.callers, !r.has("routed"));
                     read_address(r, "link", settings.link, true);
                     read_address(r, "operators", settings.operators, true);
                     read_address(r, "routed", settings.routed, false);
                 });
    read_control_of(reader, settings.control);
    read_link_times(reader, settings.bounds, settings.links);
    read_zones(reader, settings.region_of_zone);
    read_ms(reader, "report_every_ms", settings.report_every, 1.0, hour_ms);
    check_report_interval(reader, settings);
    read_section(reader, "routing", false,
                 [&](json_reader& r)
                 {
                     read_routing(r, settings.routing);
                 });
    read_section(reader, "platform", false,
                 [&](json_reader& r)
                 {
                     read_address(r, "list_address", settings.platform_list, false);
                     r.number("poll_interval_ms", settings.platform_poll_interval_ms, 10, hour_ms);
                 });
    reader.number("threads", settings.threads, 1, most_threads);
    read_section(reader, "limits", false,
                 [&](json_reader& r)
                 {
                     r.number("request_bytes", settings.most_request_bytes, 1024, most_bytes);
                     r.number("request_timeout_ms", settings.request_timeout_ms, 10, hour_ms);
                     r.number("queries_per_service", settings.most_queries_per_service, 1, most_bytes);
                     r.number("services", settings.most_services, 1, most_bytes);
                     r.number("drain_bound_ms", settings.drain_bound_ms, 0, hour_ms);
                     r.number("least_drain_ms", settings.least_drain_ms, 0, hour_ms);
                     read_kill_after(r, settings.drain_bound_ms);
                 });
    read_section(reader, "dispatch", false,
                 [&](json_reader& r)
                 {
                     read_dispatch(r, settings.dispatch);
                 });
    read_section(reader, "log", false,
                 [&](json_reader& r)
                 {
                     read_log(r, settings.least_level);
                 });
    read_section(reader, "trace", false,
                 [&](json_reader& r)
                 {
                     r.text("file", settings.trace_file);
                 });
    reader.finish();
    check_distinct({{"/listen/callers", settings.callers},
                    {"/listen/link", settings.link},
                    {"/listen/operators", settings.operators}},
                   found);
    return settings;
}

namespace
{

void read_limit_tolerance(json_reader& reader, rate_tolerance& into)
{
    constexpr double most_overage = 10.0;
    constexpr double most_slack = 1e9;
    read_ms(reader, "window_ms", into.window, 1.0, hour_ms);
    reader.number("overage", into.overage, 0.0, most_overage);
    reader.number("slack", into.slack, 0.0, most_slack);
}

void read_tolerated_losses(json_reader& reader, quorum::tolerated_losses& into)
{
    constexpr std::size_t most = 100;
    reader.number("replicas", into.replicas, std::size_t{0}, most);
    reader.number("availability_zones", into.zones, std::size_t{0}, most);
    reader.number("regions", into.regions, std::size_t{0}, most);
}

void read_replicas_of(json_reader& reader, control_settings& into)
{
    if (!reader.has("membership"))
    {
        read_named_addresses(reader, "replicas", into.replicas);
        return;
    }
    into.self_forming = true;
    into.replica.name = into.link.str();
    read_section(reader, "membership", false,
                 [&](json_reader& r)
                 {
                     read_seeds(r, into.replicas);
                     r.flag("founding", into.founding);
                     read_ms(r, "catch_up_ms", into.catch_up, 1.0, hour_ms);
                     read_ms(r, "lost_after_ms", into.keeper.lost_after, 1.0, hour_ms);
                     into.lost_after_given = r.has("lost_after_ms");
                     read_section(r, "tolerated_losses", false,
                                  [&](json_reader& losses)
                                  {
                                      read_tolerated_losses(losses, into.keeper.tolerated);
                                  });
                 });
}

/// Derives when a voter counts as lost, unless it is given: a lost replica must be replaced within the
/// catch-up time, of which the election of a new leader, the copy of the log and two changes of the member
/// set need half.
void derive_lost_after(control_settings& into)
{
    constexpr double share_of_catch_up = 0.5;
    if (into.lost_after_given || into.catch_up == duration{})
    {
        return;
    }
    const duration least = into.timing.election_max + into.timing.heartbeat;
    into.keeper.lost_after =
        std::max(least, std::min(into.keeper.lost_after, into.catch_up * share_of_catch_up));
}

} // namespace

control_settings parse_control_settings(const std::string& text, const std::string& file, findings& found)
{
    control_settings settings;
    const nlohmann::json document = parse_json(text, file, found);
    if (found.has_errors())
    {
        return settings;
    }
    json_reader reader(document, "", found);
    read_section(reader, "replica", true,
                 [&](json_reader& r)
                 {
                     read_identity(r, settings.replica);
                 });
    read_section(reader, "listen", true,
                 [&](json_reader& r)
                 {
                     read_address(r, "link", settings.link, true);
                     read_address(r, "operators", settings.operators, true);
                 });
    read_replicas_of(reader, settings);
    read_link_times(reader, settings.bounds, settings.links);
    read_zones(reader, settings.region_of_zone);
    read_ms(reader, "registration_silence_ms", settings.registration_silence, 1.0, hour_ms);
    read_section(reader, "team_limits", false,
                 [&](json_reader& r)
                 {
                     read_limit_tolerance(r, settings.limit_tolerance);
                 });
    reader.require("data_folder");
    reader.text("data_folder", settings.data_folder);
    read_section(reader, "timing", false,
                 [&](json_reader& r)
                 {
                     read_timing(r, settings.timing);
                 });
    read_section(reader, "limits", false,
                 [&](json_reader& r)
                 {
                     r.number("request_bytes", settings.most_request_bytes, 1024, most_bytes);
                     r.number("request_timeout_ms", settings.request_timeout_ms, 10, hour_ms);
                 });
    read_section(reader, "log", false,
                 [&](json_reader& r)
                 {
                     read_log(r, settings.least_level);
                 });
    reader.finish();
    derive_lost_after(settings);
    check_distinct({{"/listen/link", settings.link}, {"/listen/operators", settings.operators}}, found);
    const auto self = [&](const named_address& item)
    {
        return item.name == settings.replica.name;
    };
    if (!found.has_errors() && !settings.self_forming &&
        std::none_of(settings.replicas.begin(), settings.replicas.end(), self))
    {
        found.error(errc::key_conflict, "/replicas", "must hold this replica, " + settings.replica.name);
    }
    return settings;
}

} // namespace flaxtiller::shell
