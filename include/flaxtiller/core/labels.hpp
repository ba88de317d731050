#pragma once

#include <map>
#include <string>

namespace flaxtiller
{

/// @brief The labels that operators put on a service or a backend server: key to value.
using labels = std::map<std::string, std::string>;

} // namespace flaxtiller
