#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/shared_value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A service with the backend servers of each shard.
struct placed_service
{
    service definition;
    /// By shard number: the backend servers that hold the shard, sorted by name.
    std::vector<std::vector<backend_server>> shards;

    bool operator==(const placed_service&) const = default;
};

/// @brief One revision of the configuration with its placement rules worked out; what a request reads.
struct placement
{
    std::int64_t revision = 0;
    /// Shared with the placements before and after as long as they don't change.
    std::map<service_name, shared_value<placed_service>> services;
    std::map<instance_name, instance> instances;

    bool operator==(const placement&) const = default;
};

/// @brief Works out which backend servers hold which shard.
/// @complexity O(rules · matches) where each selector asks for some single value, else O(rules · items)
placement place(std::int64_t revision, const configuration& value);

} // namespace flaxtiller
