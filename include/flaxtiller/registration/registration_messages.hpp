#pragma once

#include <flaxtiller/registration/deregistration_confirmations.hpp>
#include <flaxtiller/registration/registration.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace flaxtiller
{

/// @brief Registrations of backend servers that register themselves: either those that changed, or the full
/// list of those that the sender knows.
struct registration_update
{
    /// True if @ref items is the full list, and the sender has received registrations for long enough to know
    /// every backend server.
    bool whole = false;
    std::vector<registration> items;
    /// True if the sender has received registrations for long enough to know every backend server, whether or
    /// not @ref items is the full list.
    bool settled = false;
    /// Asks the receiver, a control replica, to answer with @ref registration_heard::saved once it has saved
    /// @ref items. Older processes don't know the key, and don't answer.
    std::optional<deregistration_number> confirm{};

    bool operator==(const registration_update&) const = default;
};

/// @brief Backend servers from which the sender recently received a heartbeat directly.
struct registration_heard
{
    std::vector<heartbeat_receipt> items;
    /// The numbers of those requests of the receiver, see @ref registration_update::confirm, whose
    /// registrations the sender has saved.
    std::vector<deregistration_number> saved{};

    bool operator==(const registration_heard&) const = default;
};

/// @brief The hash of the registrations that the sender knows. A receiver whose own hash stays different for
/// a while sends its full list.
struct registration_digest
{
    std::uint64_t digest = 0;

    bool operator==(const registration_digest&) const = default;
};

void to_json(nlohmann::json& j, const registration_update& value);
void from_json(const nlohmann::json& j, registration_update& value);
void to_json(nlohmann::json& j, const registration_heard& value);
void from_json(const nlohmann::json& j, registration_heard& value);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(registration_digest, digest)

} // namespace flaxtiller
