#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/core/shared_value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A service and the backend servers of each of its shards.
struct placed_service
{
    service definition;
    /// The backend servers that hold each shard, sorted by name, indexed by shard number.
    std::vector<std::vector<backend_server>> shards;

    bool operator==(const placed_service&) const = default;
};

/// @brief The assignment of shards to backend servers that results from one revision of the configuration.
/// Requests are routed by this data.
struct placement
{
    std::int64_t revision = 0;
    /// Consecutive placements share the services that did not change.
    std::map<service_name, shared_value<placed_service>> services;
    std::map<instance_name, instance> instances;

    bool operator==(const placement&) const = default;
};

/// @brief Computes the placement of all declared backend servers.
/// @complexity O(rules · matches) if each selector requires a single value of some label, else O(rules ·
/// items)
placement place(std::int64_t revision, const configuration& value);

} // namespace flaxtiller
