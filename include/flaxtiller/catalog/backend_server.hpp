#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief A server of the customer that answers subqueries for the shards that the placement rules assign to
/// it.
struct backend_server
{
    backend_server_name name;
    flaxtiller::labels labels;
    /// The IP address and port, such as `127.0.0.1:9000`.
    std::string address;
    std::string availability_zone;
    /// The number of subqueries that the server runs concurrently.
    int slots = 2;
    /// The number of connections that the server accepts from all instances together.
    int connection_limit = 25;
    /// Set by an operator before the server is shut down. The server receives no new work.
    bool leaving = false;
    /// The start time of the server's current run, as reported by its registration; 0 if it is unknown. A
    /// configuration document does not contain this value.
    std::int64_t born_ms = 0;

    bool operator==(const backend_server&) const = default;
};

void to_json(nlohmann::json& j, const backend_server& value);

} // namespace flaxtiller
