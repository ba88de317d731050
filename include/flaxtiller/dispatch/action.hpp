#pragma once

#include <flaxtiller/dispatch/subquery.hpp>
#include <flaxtiller/query/subquery_result.hpp>

#include <variant>

namespace flaxtiller::dispatch
{

/// @brief Instructs the caller of a @ref scheduler to send a subquery to a backend server.
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

/// @brief Instructs the caller of a @ref scheduler to ask a backend server to stop an attempt.
///
/// The response of the backend server to the cancel is passed to scheduler::on_result as the attempt's
/// result.
struct cancel_attempt
{
    attempt_id attempt = 0;
    backend_server_name server;

    bool operator==(const cancel_attempt&) const = default;
};

/// @brief Gives the final result of a subquery; no further action refers to the subquery.
struct finish_subquery
{
    subquery_id subquery = 0;
    subquery_result result;

    bool operator==(const finish_subquery&) const = default;
};

/// @brief An instruction that a @ref scheduler gives to its caller, which performs the I/O.
using action = std::variant<start_attempt, cancel_attempt, finish_subquery>;

} // namespace flaxtiller::dispatch
