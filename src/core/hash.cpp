#include <flaxtiller/core/hash.hpp>

#include <xxhash.h>

namespace flaxtiller
{

std::uint64_t hash64(std::string_view data, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

} // namespace flaxtiller
