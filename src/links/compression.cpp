#include "compression.hpp"

#include <zlib.h>

#include <algorithm>
#include <memory>

namespace flaxtiller::shell
{

namespace
{

/// The first byte of a zlib stream with the default window size of 32 KiB.
constexpr unsigned char zlib_first_byte = 0x78;
/// The number of bytes by which the output grows per step.
constexpr std::size_t inflate_step = std::size_t{64} << 10U;

/// zlib's interface takes non-const pointers to the input, but zlib doesn't write to it.
Bytef* input_of(const std::string& bytes)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string compressed(size, '\0');
    // The output is large enough by compressBound(), so compress2() fails only if it can't allocate memory.
    if (compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, input_of(bytes),
                  static_cast<uLong>(bytes.size()), Z_BEST_SPEED) != Z_OK)
    {
        throw std::bad_alloc();
    }
    compressed.resize(size);
    return compressed;
}

bool is_compressed(const std::string& bytes) noexcept
{
    return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == zlib_first_byte;
}

std::optional<std::string> decompress(const std::string& bytes, std::size_t max_bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
    {
        return std::nullopt;
    }
    const std::unique_ptr<z_stream, int (*)(z_stream*)> cleanup(&stream, inflateEnd);
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string output;
    int state = Z_OK;
    while (state == Z_OK && output.size() < max_bytes)
    {
        const std::size_t old_size = output.size();
        output.resize(std::min(old_size + inflate_step, max_bytes));
        stream.next_out = reinterpret_cast<Bytef*>(output.data() + old_size);
        stream.avail_out = static_cast<uInt>(output.size() - old_size);
        state = inflate(&stream, Z_NO_FLUSH);
        output.resize(output.size() - stream.avail_out);
    }
    const bool complete = state == Z_STREAM_END && stream.avail_in == 0;
    return complete ? std::optional(std::move(output)) : std::nullopt;
}

} // namespace flaxtiller::shell
