#pragma once

#include <map>
#include <string>

namespace flaxtiller
{

/// @brief The labels of a service or a backend server, as key-value pairs that operators declare.
using labels = std::map<std::string, std::string>;

} // namespace flaxtiller
