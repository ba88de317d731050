#pragma once

#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief Limits on the size of a caller's requests and on the time that a caller may take to send them.
/// Operators set them in the configuration.
struct request_limits
{
    std::size_t header_bytes = std::size_t{16} << 10U;
    std::size_t body_bytes = std::size_t{1} << 20U;
    /// The time from the first byte of a request to the end of its header.
    duration header_timeout = duration::from_ms(10000);
    /// A keep-alive connection without a request is closed after this time.
    duration idle_timeout = duration::from_ms(10000);

    bool operator==(const request_limits&) const = default;
};

void to_json(nlohmann::json& j, const request_limits& value);

} // namespace flaxtiller
