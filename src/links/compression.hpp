#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace flaxtiller::shell
{

/// @return @a bytes compressed to a zlib stream with the fastest compression level
std::string compress(const std::string& bytes);

/// @return whether the first byte of @a bytes is that of a zlib stream
bool is_compressed(const std::string& bytes) noexcept;

/// @brief Decompresses a zlib stream.
/// @param max_bytes the maximum size of the result, so that a small message can't exhaust the memory
/// @return the decompressed bytes, or nothing if the stream is malformed, truncated or too large
std::optional<std::string> decompress(const std::string& bytes, std::size_t max_bytes);

} // namespace flaxtiller::shell
