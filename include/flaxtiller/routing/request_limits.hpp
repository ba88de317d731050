#pragma once

#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>

namespace flaxtiller
{

/// @brief What a caller may send, and for how long it may be slow or idle. Declared by operators.
struct request_limits
{
    std::size_t header_bytes = std::size_t{16} << 10U;
    std::size_t body_bytes = std::size_t{1} << 20U;
    /// From a request's first byte to the end of its header.
    duration header_timeout = duration::from_ms(10000);
    /// A kept connection without a request is closed after this.
    duration idle_timeout = duration::from_ms(10000);

    bool operator==(const request_limits&) const = default;
};

void to_json(nlohmann::json& j, const request_limits& value);

} // namespace flaxtiller
