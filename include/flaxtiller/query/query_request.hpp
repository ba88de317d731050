#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/findings.hpp>
#include <flaxtiller/core/identifier.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief What a caller asks.
struct query_request
{
    service_name service;
    /// The shards to ask; empty for all.
    std::vector<int> shards;
    /// Handed to the backend servers as it is.
    std::string body;
    duration deadline = duration::from_ms(1000);
    /// Whether it may be run more than once. If not, it needs a key and names exactly one shard.
    bool repeatable = true;
    request_key key;
    /// When the caller made the key, in milliseconds of Unix time; the same whenever the key is sent again.
    std::int64_t key_time_ms = 0;

    bool operator==(const query_request&) const = default;

    /// @return a hash of what is asked; the same key with another digest is another request
    std::uint64_t digest() const;
};

void to_json(nlohmann::json& j, const query_request& value);

/// @brief Reads a request; every fault is reported with its place.
query_request parse_query_request(const nlohmann::json& document, findings& found);

} // namespace flaxtiller
