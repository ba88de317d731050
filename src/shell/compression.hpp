#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace flaxtiller::shell
{

/// @return @a bytes as a zlib stream, by zlib's fastest level
std::string compress(const std::string& bytes);

/// @return whether @a bytes begin like a zlib stream
bool is_compressed(const std::string& bytes) noexcept;

/// @param most the size beyond which nothing is returned, so that a small message can't fill the memory
/// @return what was compressed, or nothing if the bytes are malformed, cut off or too large
std::optional<std::string> decompress(const std::string& bytes, std::size_t most);

} // namespace flaxtiller::shell
