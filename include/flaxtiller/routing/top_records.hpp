#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flaxtiller
{

/// The length of one record in bytes, as backend servers send them.
inline constexpr std::size_t record_bytes = 16;

/// @brief The greatest records of several bodies, greatest first, compared byte by byte. Equal records all
/// count; a rest shorter than a record doesn't.
/// @complexity O(records · log @a most)
std::string top_records(const std::vector<std::string_view>& bodies, std::size_t most);

} // namespace flaxtiller
