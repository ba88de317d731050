#pragma once

#include <flaxtiller/core/selector.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace flaxtiller
{

/// @brief A rule that assigns shards of the selected services to the selected backend servers.
///
/// A selected backend server holds the shard whose number is the value of its label @ref shard_label.
struct placement_rule
{
    std::string name;
    selector services;
    selector backend_servers;
    std::string shard_label = "shard";

    bool operator==(const placement_rule&) const = default;
};

void to_json(nlohmann::json& j, const placement_rule& value);

} // namespace flaxtiller
