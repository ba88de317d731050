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

/// @brief A query as received from a caller.
struct query_request
{
    service_name service;
    /// The shards to query; empty for all shards of the service.
    std::vector<int> shards;
    /// The request body, passed to the backend servers unchanged.
    std::string body;
    duration deadline = duration::from_ms(1000);
    /// Whether the request may be run more than once. A request that must not be repeated needs a key and
    /// exactly one shard.
    bool repeatable = true;
    request_key key;
    /// The time at which the caller created the key, in milliseconds of Unix time. It must be the same for
    /// each request with this key.
    std::int64_t key_time_ms = 0;

    bool operator==(const query_request&) const = default;

    /// @return a hash of the service, shards, body and key time. Two requests with the same key but different
    /// digests are different requests.
    std::uint64_t digest() const;
};

void to_json(nlohmann::json& j, const query_request& value);

/// @brief Parses a request.
/// @param document the JSON document
/// @param found receives a finding, with its place in the document, for each error
query_request parse_query_request(const nlohmann::json& document, findings& found);

} // namespace flaxtiller
