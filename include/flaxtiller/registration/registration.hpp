#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/catalog/service.hpp>
#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief Whether a registered backend server may get work.
enum class registration_state
{
    ready,
    /// It said that it is leaving: it gets no new work.
    draining,
    /// It deregistered; nothing brings this id back.
    gone,
    /// It wasn't heard for too long; its next heartbeat brings it back.
    lost,
};

/// @brief What a backend server says of itself in a heartbeat.
struct registration
{
    backend_server_name id;
    service_name service;
    /// IP number and port.
    std::string address;
    std::string availability_zone;
    /// The version of its software.
    std::string software;
    int slots = 1;
    registration_state state = registration_state::ready;
    /// How much longer it is slow after its start, as of this heartbeat.
    duration warmup_left{};
    /// When this life of it began, in milliseconds of the Unix clock; 0 where each life has an id of its own.
    std::int64_t born_ms = 0;
    /// Grows with each heartbeat of this life.
    std::int64_t sequence = 0;

    bool operator==(const registration&) const = default;

    /// @return whether it neither deregistered nor was lost
    bool is_present() const noexcept
    {
        return state == registration_state::ready || state == registration_state::draining;
    }

    /// @return whether this is a later word than @a other, of the same life or a later one
    bool is_newer_than(const registration& other) const noexcept
    {
        return born_ms == other.born_ms ? sequence > other.sequence : born_ms > other.born_ms;
    }

    /// @return whether only the sequence and the warm-up differ
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

/// @return the backend server as placement rules see it: its labels are `service`, `availability_zone`,
/// `software` and `shard`, which is 0
/// @param declared the service that it registered for
backend_server to_backend_server(const registration& value, const service& declared);

} // namespace flaxtiller
