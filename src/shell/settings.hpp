#pragma once

#include "address.hpp"
#include "log.hpp"

#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/dispatch/scheduler_options.hpp>
#include <flaxtiller/quorum/timing.hpp>

#include <nlohmann/json_fwd.hpp>

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
    std::vector<named_address> control;
    /// Where the platform lists live and leaving backend servers; port 0 for none.
    address platform_list;
    int platform_poll_interval_ms = 500;
    int threads = 4;
    int most_request_bytes = 1 << 20;
    int request_timeout_ms = 10000;
    int most_queries_per_service = 10000;
    int most_services = 1000;
    int drain_bound_ms = 30000;
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
    std::string data_folder;
    quorum::timing timing;
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
