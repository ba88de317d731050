#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <string>

namespace flaxtiller
{

/// @brief Another entry instance, to which this one can delegate shards of a fan-out.
struct entry_peer
{
    instance_name name;
    std::string region;
    std::string availability_zone;
    /// IP address and port at which the peer accepts links.
    std::string address;

    auto operator<=>(const entry_peer&) const = default;
};

} // namespace flaxtiller
