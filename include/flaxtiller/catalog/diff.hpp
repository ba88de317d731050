#pragma once

#include <flaxtiller/catalog/configuration.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

/// @return the patch that converts @a from into @a to; an empty object if they are equal
nlohmann::json diff(const configuration& from, const configuration& to);

} // namespace flaxtiller
