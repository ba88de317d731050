#pragma once

#include <cstdint>
#include <string_view>

namespace flaxtiller
{

/// @return the 64-bit XXH3 hash of @a data, which is equal on all platforms
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

} // namespace flaxtiller
