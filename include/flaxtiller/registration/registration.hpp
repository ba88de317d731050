#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/catalog/service.hpp>
#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief Whether a registered backend server may receive work.
enum class registration_state
{
    ready,
    /// The backend server announced that it is leaving and receives no new work.
    draining,
    /// The backend server deregistered. Only a later run under the same id can register again.
    gone,
    /// No heartbeat arrived in time. The next heartbeat makes the backend server available again.
    lost,
};

/// @brief The state of a backend server that registers itself, as its heartbeats report it.
///
/// A backend server sends a heartbeat about once per second to a control process. A run of a backend server
/// lasts from the start of its process to the end of it.
struct registration
{
    /// The maximum size of the id and of each other text. Every process keeps all registrations.
    static constexpr std::size_t max_text_bytes = 256;

    backend_server_name id;
    service_name service;
    /// IP address and port.
    std::string address;
    std::string availability_zone;
    /// The version of its software.
    std::string software;
    int slots = 1;
    registration_state state = registration_state::ready;
    /// The remaining time of the slow phase that follows a start, as of this heartbeat.
    duration warmup_left{};
    /// The start time of this run in milliseconds of the Unix clock; 0 if each run has an id of its own.
    std::int64_t born_ms = 0;
    /// Increases with each heartbeat of a run.
    std::int64_t sequence = 0;

    bool operator==(const registration&) const = default;

    /// @return whether the backend server is neither deregistered nor lost
    bool is_present() const noexcept
    {
        return state == registration_state::ready || state == registration_state::draining;
    }

    /// @return whether the backend server may receive new work
    bool is_available() const noexcept
    {
        return state == registration_state::ready;
    }

    /// @return whether this report takes precedence over @a known, by rules under which all processes end
    /// with the same one of any reports, in whatever order they arrive. A later run takes precedence; in a
    /// run, `gone` is final, and else the greater sequence counts. The sequence of a loss is made up, one
    /// more than that of the last heartbeat, so that a heartbeat with the same one takes precedence.
    bool supersedes(const registration& known) const noexcept;

    /// @return a digest of the status, see @ref has_same_status; equal on all processes
    std::uint32_t status_digest() const;

    /// @return whether all but the sequence and the warm-up is equal
    bool has_same_status(const registration& other) const
    {
        return born_ms == other.born_ms && service == other.service && address == other.address &&
               slots == other.slots && state == other.state && availability_zone == other.availability_zone &&
               software == other.software;
    }
};

NLOHMANN_JSON_SERIALIZE_ENUM(registration_state, {{registration_state::ready, "ready"},
                                                  {registration_state::draining, "draining"},
                                                  {registration_state::gone, "gone"},
                                                  {registration_state::lost, "lost"}})

void to_json(nlohmann::json& j, const registration& value);
void from_json(const nlohmann::json& j, registration& value);

/// @brief Converts a registration to the form that placement rules match.
/// @param declared the definition of the service that the backend server registered for
/// @return a backend server with the labels `service`, `availability_zone`, `software` and `shard`, which is
/// always 0
backend_server to_backend_server(const registration& value, const service& declared);

} // namespace flaxtiller
