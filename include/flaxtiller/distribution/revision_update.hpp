#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::distribution
{

/// @brief A message that brings a revision of the configuration to an instance.
struct revision_update
{
    std::int64_t revision = 0;
    /// The revision to which the patch in @ref body applies; 0 if the body is the complete document.
    std::int64_t base = 0;
    /// The digest of the resulting configuration.
    std::uint64_t digest = 0;
    nlohmann::json body;

    bool operator==(const revision_update&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_update, revision, base, digest, body)

/// @brief An instance's report of its active revision, which also serves as a heartbeat.
struct revision_report
{
    std::int64_t revision = 0;
    std::uint64_t digest = 0;
    /// Whether the instance could not apply a patch and needs the complete document.
    bool needs_whole = false;
    /// Whether the instance follows the receiver and needs updates from it. An instance follows one replica
    /// at a time.
    bool wants_updates = true;
    /// In the report of a control replica, the name of the replica that it considers the leader.
    std::string leader{};

    bool operator==(const revision_report&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_report, revision, digest, needs_whole, wants_updates, leader)

/// @brief A leader's confirmation, under its lease, of the current revision.
struct revision_confirmation
{
    std::int64_t revision = 0;
    /// The number of instances from which the leader recently received reports. They share the connections of
    /// the backend servers.
    int instances = 0;
    /// The interval at which each instance reports to the leader; see @ref report_interval.
    double report_every_ms = 0.0;

    bool operator==(const revision_confirmation&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_confirmation, revision, instances, report_every_ms)

} // namespace flaxtiller::distribution
