#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flaxtiller
{

/// @brief An entry instance of the tier; the instances of a region own the region's backend servers.
struct instance
{
    instance_name name;
    /// Where other instances reach it: IP number and port of its link.
    std::string address;
    std::string region;
    std::string availability_zone;
    /// An operator's word that it is going away: it owns nothing new.
    bool leaving = false;

    bool operator==(const instance&) const = default;
};

void to_json(nlohmann::json& j, const instance& value);

} // namespace flaxtiller
