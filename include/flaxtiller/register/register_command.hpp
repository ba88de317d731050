#pragma once

#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/query/outcome.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace flaxtiller
{

/// @brief What a command does to a key.
enum class register_action
{
    /// Ask to run the request.
    begin,
    /// Record the outcome.
    finish,
};

NLOHMANN_JSON_SERIALIZE_ENUM(register_action,
                             {{register_action::begin, "begin"}, {register_action::finish, "finish"}})

/// @brief A command of the replicated register.
struct register_command
{
    register_action action = register_action::begin;
    request_key key;
    std::uint64_t digest = 0;
    std::int64_t key_time_ms = 0;
    /// Names this one asking: a begin that is sent again by the same asker gets its grant again.
    std::string asker;
    /// The leader's wall clock when it took the command, in Unix milliseconds.
    std::int64_t now_ms = 0;
    /// With `finish`: what became of it, and the answer as JSON text.
    enum outcome outcome = outcome::unknown;
    std::string answer;

    bool operator==(const register_command&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_command, action, key, digest, key_time_ms, asker, now_ms, outcome,
                                   answer)

} // namespace flaxtiller
