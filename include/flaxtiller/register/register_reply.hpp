#pragma once

#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace flaxtiller
{

/// @brief The register's decision on a `begin` command for a request that may not be repeated.
enum class register_status
{
    /// The register is unreachable. It is not known whether the command was recorded.
    unreachable,
    /// The grant is recorded on a majority of the disks. Only this requester may run the request.
    granted,
    /// The key was granted to another requester, whose outcome is not recorded yet. The request may have been
    /// run.
    in_progress,
    /// The request was run; the reply holds the recorded answer.
    done,
    /// The request may have been run and will not be run again.
    unknown,
    /// The key was used for another request.
    key_reused,
    /// The key is older than the retention time, or its time is too far in the future.
    key_expired,
};

NLOHMANN_JSON_SERIALIZE_ENUM(register_status, {{register_status::unreachable, "unreachable"},
                                               {register_status::granted, "granted"},
                                               {register_status::in_progress, "in_progress"},
                                               {register_status::done, "done"},
                                               {register_status::unknown, "unknown"},
                                               {register_status::key_reused, "key_reused"},
                                               {register_status::key_expired, "key_expired"}})

/// @brief The register's reply to a command.
struct register_reply
{
    register_status status = register_status::unreachable;
    /// With `done`: the recorded answer as JSON text.
    std::string answer;

    bool operator==(const register_reply&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_reply, status, answer)

} // namespace flaxtiller
