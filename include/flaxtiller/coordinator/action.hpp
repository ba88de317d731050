#pragma once

#include <flaxtiller/coordinator/event.hpp>
#include <flaxtiller/dispatch/action.hpp>
#include <flaxtiller/query/query_answer.hpp>

#include <variant>

namespace flaxtiller
{

/// @brief Ask another instance to run subqueries.
struct ask_peer
{
    instance_name peer;
    std::vector<peer_subquery> subqueries;
};

/// @brief Send results to the instance that asked.
struct answer_peer
{
    instance_name peer;
    std::vector<peer_result> results;
};

/// @brief Tell another instance that nobody waits for these any more.
struct abandon_at_peer
{
    instance_name peer;
    std::vector<std::uint64_t> numbers;
};

/// @brief Ask the register whether this request may be run.
struct register_begin
{
    query_id query = 0;
    query_request request;
};

/// @brief Record what became of a request; the caller is answered afterwards.
struct register_finish
{
    query_id query = 0;
    query_request request;
    query_answer answer;
};

/// @brief Answer the caller.
struct answer_caller
{
    query_id query = 0;
    query_answer answer;
};

using coordinator_action =
    std::variant<dispatch::start_attempt, dispatch::cancel_attempt, ask_peer, answer_peer, abandon_at_peer,
                 register_begin, register_finish, answer_caller>;

} // namespace flaxtiller
