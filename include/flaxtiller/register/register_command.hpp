#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/query/outcome.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief The operation that a command performs on a key.
enum class register_action
{
    /// Requests permission to run the request with this key.
    begin,
    /// Records the outcome of the run.
    finish,
};

NLOHMANN_JSON_SERIALIZE_ENUM(register_action,
                             {{register_action::begin, "begin"}, {register_action::finish, "finish"}})

/// @brief A command for the replicated register; see @ref register_state.
struct register_command
{
    register_action action = register_action::begin;
    /// The key that the caller chose for the request.
    request_key key;
    /// The digest of the request's content.
    std::uint64_t digest = 0;
    /// The creation time of the key, in Unix milliseconds.
    std::int64_t key_time_ms = 0;
    /// Identifies the requester. A repeated `begin` of the same requester is granted again.
    std::string asker;
    /// The leader's wall clock when it received the command, in Unix milliseconds.
    std::int64_t now_ms = 0;
    /// With `finish`: the outcome of the request, and the answer as JSON text.
    enum outcome outcome = outcome::unknown;
    std::string answer;

    bool operator==(const register_command&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_command, action, key, digest, key_time_ms, asker, now_ms, outcome,
                                   answer)

} // namespace flaxtiller
