#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flaxtiller
{

/// The length in bytes of one record in a backend server's answer.
inline constexpr std::size_t record_bytes = 16;

/// @brief Merges the greatest records of several bodies, in descending order of their bytes.
///
/// Equal records are all kept. A remainder that is shorter than a record is ignored.
/// @param most the greatest number of records in the result
/// @complexity O(records · log @a most)
std::string top_records(const std::vector<std::string_view>& bodies, std::size_t most);

} // namespace flaxtiller
