#pragma once

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @brief Whether a request, or a part of it, was run by a backend server.
enum class outcome
{
    /// It is certain that no backend server began to run the request.
    not_run,
    /// A backend server may have begun to run the request, but no answer arrived.
    unknown,
    /// The request was run and answered.
    run,
};

NLOHMANN_JSON_SERIALIZE_ENUM(outcome, {{outcome::not_run, "not_run"},
                                       {outcome::unknown, "unknown"},
                                       {outcome::run, "run"}})

} // namespace flaxtiller
