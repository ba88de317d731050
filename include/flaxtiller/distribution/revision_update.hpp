#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller::distribution
{

/// @brief A revision of the configuration on its way to an instance.
struct revision_update
{
    std::int64_t revision = 0;
    /// The revision that @ref body is a patch of; 0 if the body is the whole document.
    std::int64_t base = 0;
    /// The digest of the configuration that must come out.
    std::uint64_t digest = 0;
    nlohmann::json body;

    bool operator==(const revision_update&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_update, revision, base, digest, body)

/// @brief An instance's word on what it has in force; also its sign of life.
struct revision_report
{
    std::int64_t revision = 0;
    std::uint64_t digest = 0;
    /// Set by an instance that couldn't apply a patch and needs the whole document.
    bool needs_whole = false;
    /// Whether the receiver shall send it updates; it follows one replica at a time.
    bool wants_updates = true;
    /// From a control replica: whom it takes for the leader.
    std::string leader{};

    bool operator==(const revision_report&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_report, revision, digest, needs_whole, wants_updates, leader)

/// @brief A leader's word, under its lease, on what the present revision is.
struct revision_confirmation
{
    std::int64_t revision = 0;
    /// Instances that the leader heard from lately; they share the backend servers' connections.
    int instances = 0;
    /// How often it wants to hear from each, so that many don't take all of its time.
    double report_every_ms = 0.0;

    bool operator==(const revision_confirmation&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(revision_confirmation, revision, instances, report_every_ms)

} // namespace flaxtiller::distribution
