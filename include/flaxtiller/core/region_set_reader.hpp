#pragma once

#include <flaxtiller/core/json_reader.hpp>
#include <flaxtiller/core/region_set.hpp>

namespace flaxtiller
{

/// @brief Reads `allowed_regions`, a list of names. If the key is missing, @a into is unchanged. An empty
/// list is reported as an error, because it could mean either no region or every region.
void read_allowed_regions(json_reader& reader, region_set& into);

} // namespace flaxtiller
