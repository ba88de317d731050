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

/// @brief Identifies a query within one entry instance.
using query_id = std::uint64_t;

/// @brief The placement of a new revision became active.
struct placement_changed
{
    std::shared_ptr<const placement> placed;
};

/// @brief Another instance became reachable or unreachable.
struct peer_reachable
{
    instance_name peer;
    bool reachable = false;
};

/// @brief A query of a caller arrived.
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

/// @brief Another instance delegated subqueries to this one.
struct peer_delegated
{
    instance_name peer;
    std::vector<peer_subquery> subqueries;
};

/// @brief Another instance returned results of delegated subqueries.
struct peer_answered
{
    instance_name peer;
    std::vector<peer_result> results;
};

/// @brief Another instance no longer needs the results of subqueries that it delegated.
struct peer_abandoned
{
    instance_name peer;
    std::vector<std::uint64_t> numbers;
};

/// @brief The register answered a @ref register_begin.
struct register_began
{
    query_id query = 0;
    register_reply reply;
};

/// @brief The register recorded an outcome or was unreachable.
struct register_finished
{
    query_id query = 0;
};

/// @brief The backend server list of the platform states whether a backend server is leaving.
struct listed
{
    backend_server_name server;
    bool leaving = false;
};

/// @brief A timer expired, or time passed without another event.
struct time_passed
{
};

/// @brief An input of a @ref service_coordinator.
using coordinator_event =
    std::variant<placement_changed, peer_reachable, query_arrived, attempt_ended, peer_delegated,
                 peer_answered, peer_abandoned, register_began, register_finished, listed, time_passed>;

} // namespace flaxtiller
