#pragma once

#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/core/region_set.hpp>

namespace flaxtiller
{

/// @brief Reads `allowed_regions`, a list of names; any region where it is missing. An empty list is an
/// error: whether it means nowhere or anywhere is for the operator to say.
void read_allowed_regions(json_reader& reader, region_set& into);

} // namespace flaxtiller
