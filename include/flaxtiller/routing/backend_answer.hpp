#pragma once

#include <string>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief HTTP header fields (name, value) in the order of receipt.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief The complete HTTP answer of a backend server to a routed request.
struct backend_answer
{
    int status = 0;
    /// The end-to-end header fields; hop-by-hop fields are removed.
    header_list headers;
    /// The signature of this answer, made by the backend server.
    std::string signature;
    std::string body;

    bool operator==(const backend_answer&) const = default;
};

} // namespace flaxtiller
