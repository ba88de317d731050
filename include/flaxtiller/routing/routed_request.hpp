#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/routing/backend_answer.hpp>

#include <string>

namespace flaxtiller
{

/// @brief A caller's request that a route passes on as it is.
struct routed_request
{
    /// The caller's own id; backend servers get the same.
    std::string id;
    std::string method;
    std::string host;
    /// Path and query.
    std::string target;
    /// Without those that concern one connection only, and without deadline.
    header_list headers;
    std::string body;
    /// How long the caller waits.
    duration patience{};

    bool operator==(const routed_request&) const = default;
};

} // namespace flaxtiller
