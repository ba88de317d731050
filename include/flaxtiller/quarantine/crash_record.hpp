#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/quarantine/request_fingerprint.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <vector>

namespace flaxtiller
{

/// @brief A crash of a backend server while it ran a request.
struct server_crash
{
    backend_server_name server;
    /// Identifies the run of the backend server that ended; see @ref backend_server::born_ms.
    std::int64_t born_ms = 0;
    /// Whether the backend server ran a trial attempt, that is, the only running attempt of the request.
    bool on_trial = false;

    bool operator==(const server_crash&) const = default;
};

/// @brief The crashes of backend servers while they ran equal requests, as processes exchange them and as
/// they are stored.
struct crash_record
{
    request_fingerprint request;
    std::vector<server_crash> crashes;
    /// Whether a backend server has answered the request since, so that its crashes had another cause.
    bool cleared = false;
    /// The time since the last crash, or since the answer that cleared the request.
    duration age{};

    bool operator==(const crash_record&) const = default;
};

/// @return whether one of the crashes ended a trial attempt, which proves that the request is the cause
bool prove_cause(const std::vector<server_crash>& crashes) noexcept;

void to_json(nlohmann::json& j, const crash_record& value);
void from_json(const nlohmann::json& j, crash_record& value);

} // namespace flaxtiller
