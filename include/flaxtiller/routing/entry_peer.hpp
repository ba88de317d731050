#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <string>

namespace flaxtiller
{

/// @brief Another entry instance, which can run a fan-out on this one's behalf.
struct entry_peer
{
    instance_name name;
    std::string region;
    std::string availability_zone;
    /// IP number and port of its link.
    std::string address;

    auto operator<=>(const entry_peer&) const = default;
};

} // namespace flaxtiller
