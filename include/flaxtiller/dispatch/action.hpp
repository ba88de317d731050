#pragma once

#include <flaxtiller/dispatch/subquery.hpp>
#include <flaxtiller/query/subquery_result.hpp>

#include <variant>

namespace flaxtiller::dispatch
{

/// @brief Send the subquery to this backend server.
struct start_attempt
{
    attempt_id attempt = 0;
    subquery_id subquery = 0;
    backend_server_name server;
    int shard = 0;
    index_version version;
    time_point deadline;
    std::shared_ptr<const std::string> body;

    bool operator==(const start_attempt&) const = default;
};

/// @brief Ask the backend server to stop this attempt; report what it says as the attempt's end.
struct cancel_attempt
{
    attempt_id attempt = 0;
    backend_server_name server;

    bool operator==(const cancel_attempt&) const = default;
};

/// @brief The subquery is over; nothing more will be said of it.
struct finish_subquery
{
    subquery_id subquery = 0;
    subquery_result result;

    bool operator==(const finish_subquery&) const = default;
};

using action = std::variant<start_attempt, cancel_attempt, finish_subquery>;

} // namespace flaxtiller::dispatch
