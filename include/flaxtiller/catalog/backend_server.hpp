#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief A server of the customer's that answers subqueries for the shards which placement rules give it.
struct backend_server
{
    backend_server_name name;
    flaxtiller::labels labels;
    /// IP number and port, as in `127.0.0.1:9000`.
    std::string address;
    std::string availability_zone;
    /// Subqueries that it runs at once.
    int slots = 2;
    /// Connections that it accepts from all instances together.
    int connection_limit = 25;
    /// An operator's word that it is going away: it gets no new work.
    bool leaving = false;
    /// When its present life began, as it said when it registered; 0 where it didn't. In no document: what is
    /// declared has no life.
    std::int64_t born_ms = 0;

    bool operator==(const backend_server&) const = default;
};

void to_json(nlohmann::json& j, const backend_server& value);

} // namespace flaxtiller
