#pragma once

#include "entry/routed_header_names.hpp"
#include "http/address.hpp"
#include "links/link_timing.hpp"
#include "log.hpp"
#include "resource_bounds.hpp"

#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>
#include <flaxtiller/quorum/membership_planner.hpp>
#include <flaxtiller/quorum/timing.hpp>
#include <flaxtiller/routing/router_options.hpp>
#include <flaxtiller/teams/rate_limit.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Another process by name and address.
struct named_address
{
    std::string name;
    address at;

    bool operator==(const named_address&) const = default;
};

/// @brief Who this process is and where it stands.
struct identity_settings
{
    std::string name;
    std::string region;
    std::string availability_zone;

    bool operator==(const identity_settings&) const = default;
};

/// @brief The settings of an `entry` process; docs/settings.md describes each key.
struct entry_settings
{
    identity_settings instance;
    address callers;
    address link;
    address operators;
    /// Where routed requests are taken; port 0 for nowhere.
    address routed;
    std::vector<named_address> control;
    distribution::change_bounds bounds;
    link_timing links;
    /// How often it tells control what it has in force.
    duration report_every = duration::from_ms(250);
    router_options routing;
    /// The regions of the availability zones, to know which backend servers are near.
    std::map<std::string, std::string> region_of_zone;
    routed_header_names routed_names;
    /// Where the platform lists live and leaving backend servers; port 0 for none.
    address platform_list;
    int platform_poll_interval_ms = 500;
    int threads = 4;
    process_limits process;
    int most_request_bytes = 1 << 20;
    int request_timeout_ms = 10000;
    int most_queries_per_service = 10000;
    int most_services = 1000;
    /// A planned stop takes requests for this long at most; then it only answers those that it has.
    int drain_bound_ms = 30000;
    /// Those may take this share of the bound more.
    double drain_end_share = 0.4;
    /// A planned stop takes at least this long, for the balancer to notice that no new callers shall come.
    int least_drain_ms = 0;
    dispatch::scheduler_options dispatch;
    log_level least_level = log_level::info;
    /// Events into the decisions are recorded here; empty for none.
    std::string trace_file;

    bool operator==(const entry_settings&) const = default;
};

/// @brief The settings of a `control` process.
struct control_settings
{
    identity_settings replica;
    address link;
    address operators;
    /// All control replicas, this one included.
    std::vector<named_address> replicas;
    /// Whether the replicas find and mend their set themselves, starting from @ref replicas. A replica's name
    /// is then its link's address.
    bool self_forming = false;
    /// Whether this is the very first start: the replicas in @ref replicas make the logs' first voters.
    bool founding = false;
    distribution::change_bounds bounds;
    link_timing links;
    /// The regions of the availability zones, to refuse orders for one that doesn't exist; empty where any
    /// name may be one.
    std::map<std::string, std::string> region_of_zone;
    /// A registered backend server that wasn't heard for this long is lost: several of its heartbeats.
    duration registration_silence = duration::from_ms(8000);
    quorum::membership_planner::options keeper;
    /// By how much all entries together may exceed the limit of a team.
    rate_tolerance limit_tolerance;
    std::string data_folder;
    quorum::timing timing;
    process_limits process;
    int most_request_bytes = 16 << 20;
    int request_timeout_ms = 10000;
    log_level least_level = log_level::info;

    bool operator==(const control_settings&) const = default;
};

/// @brief Reads the settings of an entry from JSON with comments; every fault goes to @a found.
entry_settings parse_entry_settings(const std::string& text, const std::string& file, findings& found);

/// @brief Reads the settings of a control replica.
control_settings parse_control_settings(const std::string& text, const std::string& file, findings& found);

/// @brief Parses JSON with comments; a syntax error is a finding with its line.
nlohmann::json parse_json(const std::string& text, const std::string& file, findings& found);

/// @brief Reads a file; an unreadable one is a finding.
std::string read_file(const std::string& path, findings& found);

} // namespace flaxtiller::shell
