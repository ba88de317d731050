#pragma once

#include <string>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief Header fields in the order in which they came.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief A backend server's whole answer to a routed request.
struct backend_answer
{
    int status = 0;
    /// Without those that concern one connection only.
    header_list headers;
    /// The backend server's signature of this answer.
    std::string signature;
    std::string body;

    bool operator==(const backend_answer&) const = default;
};

} // namespace flaxtiller
