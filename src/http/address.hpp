#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace flaxtiller::shell
{

/// @brief An IP number and a port.
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;

    /// @return `ip:port`
    std::string str() const;
};

/// @brief Reads `ip:port`.
/// @return nothing if it is malformed
std::optional<address> parse_address(const std::string& text);

} // namespace flaxtiller::shell
