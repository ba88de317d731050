#pragma once

#include <flaxtiller/coordinator/event.hpp>
#include <flaxtiller/dispatch/action.hpp>
#include <flaxtiller/query/query_answer.hpp>

#include <variant>

namespace flaxtiller
{

/// @brief Sends subqueries to another instance, which executes them.
struct delegate_to_peer
{
    instance_name peer;
    std::vector<peer_subquery> subqueries;
};

/// @brief Sends results of delegated subqueries to the instance that delegated them.
struct send_results_to_peer
{
    instance_name peer;
    std::vector<peer_result> results;
};

/// @brief Notifies another instance that the results of delegated subqueries are no longer needed.
struct abandon_delegated
{
    instance_name peer;
    std::vector<std::uint64_t> numbers;
};

/// @brief Asks the register whether a request that must not be repeated may be executed.
struct register_begin
{
    query_id query = 0;
    query_request request;
};

/// @brief Records the outcome of a request in the register. The caller gets the answer afterwards.
struct register_finish
{
    query_id query = 0;
    query_request request;
    query_answer answer;
};

/// @brief Sends the answer of a query to the caller.
struct answer_caller
{
    query_id query = 0;
    query_answer answer;
};

/// @brief An action that a @ref service_coordinator decided on and that its owner executes.
using coordinator_action =
    std::variant<dispatch::start_attempt, dispatch::cancel_attempt, delegate_to_peer, send_results_to_peer,
                 abandon_delegated, register_begin, register_finish, answer_caller>;

} // namespace flaxtiller
