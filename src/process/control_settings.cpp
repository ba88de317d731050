#include "settings_reading.hpp"

#include <algorithm>

namespace flaxtiller::shell
{

using namespace detail;

namespace
{

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

/// Derives when a voter counts as lost: a lost replica must be replaced within the catch-up time, of which
/// the election of a new leader, the copy of the log and two changes of the member set need half.
/// @param catch_up the catch-up time; zero if nothing is to be derived
void derive_lost_after(duration catch_up, control_settings& into)
{
    constexpr double share_of_catch_up = 0.5;
    if (catch_up == duration{})
    {
        return;
    }
    const duration least = into.timing.election_max + into.timing.heartbeat;
    into.keeper.lost_after = std::max(least, std::min(into.keeper.lost_after, catch_up * share_of_catch_up));
}

/// @return the catch-up time from which the time of a lost voter follows; zero if none is given, or the
/// latter is
duration read_replicas_of(json_reader& reader, control_settings& into)
{
    if (!reader.has("membership"))
    {
        read_named_addresses(reader, "replicas", into.replicas);
        return {};
    }
    into.self_forming = true;
    into.replica.name = into.link.str();
    duration catch_up;
    read_section(reader, "membership", false,
                 [&](json_reader& r)
                 {
                     read_seeds(r, into.replicas);
                     r.flag("founding", into.founding);
                     read_ms(r, "catch_up_ms", catch_up, 1.0, hour_ms);
                     read_ms(r, "lost_after_ms", into.keeper.lost_after, 1.0, hour_ms);
                     catch_up = r.has("lost_after_ms") ? duration{} : catch_up;
                     read_section(r, "tolerated_losses", false,
                                  [&](json_reader& losses)
                                  {
                                      read_tolerated_losses(losses, into.keeper.tolerated);
                                  });
                 });
    return catch_up;
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
    const duration catch_up = read_replicas_of(reader, settings);
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
                     read_process_limits(r, settings.process, settings.most_request_bytes);
                     r.number("request_timeout_ms", settings.request_timeout_ms, 10, hour_ms);
                 });
    read_section(reader, "log", false,
                 [&](json_reader& r)
                 {
                     read_log(r, settings.least_level);
                 });
    reader.finish();
    derive_lost_after(catch_up, settings);
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
