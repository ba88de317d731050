#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flaxtiller
{

/// @brief An entry instance of the query tier. The instances of a region own the backend servers of this
/// region.
struct instance
{
    instance_name name;
    /// The IP address and port at which the instance accepts links of other instances.
    std::string address;
    std::string region;
    std::string availability_zone;
    /// Set by an operator before the instance is shut down. The instance becomes the owner of no further
    /// backend server.
    bool leaving = false;

    bool operator==(const instance&) const = default;
};

void to_json(nlohmann::json& j, const instance& value);

} // namespace flaxtiller
