#pragma once

#include <flaxtiller/core/duration.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace flaxtiller
{

/// @brief What the register says when a request that may not be repeated asks to begin.
enum class register_status
{
    /// Nobody knows whether this was recorded: the register can't be reached.
    unreachable,
    /// Recorded on a majority of the disks; the asker, and nobody else ever, may run it.
    granted,
    /// Another asker was granted it and its outcome isn't recorded yet; it may have been run.
    in_progress,
    /// It was run; the answer is here.
    done,
    /// It may have been run and will never be run again.
    unknown,
    /// The same key was used for another request.
    key_reused,
    /// The key is older than keys are kept, or its time lies in the future.
    key_expired,
};

NLOHMANN_JSON_SERIALIZE_ENUM(register_status, {{register_status::unreachable, "unreachable"},
                                               {register_status::granted, "granted"},
                                               {register_status::in_progress, "in_progress"},
                                               {register_status::done, "done"},
                                               {register_status::unknown, "unknown"},
                                               {register_status::key_reused, "key_reused"},
                                               {register_status::key_expired, "key_expired"}})

/// @brief The register's answer to a begin.
struct register_reply
{
    register_status status = register_status::unreachable;
    /// With `done`: the recorded answer, as JSON text.
    std::string answer;

    bool operator==(const register_reply&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(register_reply, status, answer)

} // namespace flaxtiller
