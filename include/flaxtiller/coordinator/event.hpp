#pragma once

#include <flaxtiller/catalog/configuration.hpp>
#include <flaxtiller/catalog/placement.hpp>
#include <flaxtiller/coordinator/peer_message.hpp>
#include <flaxtiller/dispatch/attempt_result.hpp>
#include <flaxtiller/dispatch/subquery.hpp>
#include <flaxtiller/query/query_request.hpp>
#include <flaxtiller/register/register_reply.hpp>

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace flaxtiller
{

/// @brief Identity of a query within one entry instance.
using query_id = std::uint64_t;

/// @brief A new revision is in force.
struct placement_changed
{
    std::shared_ptr<const placement> placed;
};

/// @brief Another instance can be reached, or not any more.
struct peer_reachable
{
    instance_name peer;
    bool reachable = false;
};

/// @brief A caller asks.
struct query_arrived
{
    query_id query = 0;
    query_request request;
};

/// @brief An attempt on a backend server ended.
struct attempt_ended
{
    dispatch::attempt_id attempt = 0;
    dispatch::attempt_result result;
};

/// @brief Another instance asks this one to run subqueries.
struct peer_asked
{
    instance_name peer;
    std::vector<peer_subquery> subqueries;
};

/// @brief Another instance has results of what it was asked.
struct peer_answered
{
    instance_name peer;
    std::vector<peer_result> results;
};

/// @brief Another instance no longer waits for what it asked.
struct peer_abandoned
{
    instance_name peer;
    std::vector<std::uint64_t> numbers;
};

/// @brief The register answered a begin.
struct register_began
{
    query_id query = 0;
    register_reply reply;
};

/// @brief The register recorded an outcome, or couldn't be reached.
struct register_finished
{
    query_id query = 0;
};

/// @brief The platform's list tells of a backend server.
struct listed
{
    backend_server_name server;
    bool leaving = false;
};

/// @brief Time has passed.
struct time_passed
{
};

using coordinator_event =
    std::variant<placement_changed, peer_reachable, query_arrived, attempt_ended, peer_asked, peer_answered,
                 peer_abandoned, register_began, register_finished, listed, time_passed>;

} // namespace flaxtiller
