#pragma once

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @brief What is known of whether a request, or a part of it, was run.
enum class outcome
{
    /// Proved: no backend server began it.
    not_run,
    /// It may have been begun, and no answer came.
    unknown,
    /// It was run and answered.
    run,
};

NLOHMANN_JSON_SERIALIZE_ENUM(outcome, {{outcome::not_run, "not_run"},
                                       {outcome::unknown, "unknown"},
                                       {outcome::run, "run"}})

} // namespace flaxtiller
