#include "compression.hpp"

#include <zlib.h>

#include <algorithm>
#include <memory>

namespace flaxtiller::shell
{

namespace
{

/// The first byte of zlib streams with the usual window.
constexpr unsigned char zlib_first_byte = 0x78;
/// The output grows by this much at a time.
constexpr std::size_t inflate_step = std::size_t{64} << 10U;

/// zlib takes pointers that aren't const and doesn't write through them.
Bytef* input_of(const std::string& bytes)
{
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string packed(size, '\0');
    // It fails only for want of memory, or of room, of which there is enough.
    if (compress2(reinterpret_cast<Bytef*>(packed.data()), &size, input_of(bytes),
                  static_cast<uLong>(bytes.size()), Z_BEST_SPEED) != Z_OK)
    {
        throw std::bad_alloc();
    }
    packed.resize(size);
    return packed;
}

bool is_compressed(const std::string& bytes) noexcept
{
    return !bytes.empty() && static_cast<unsigned char>(bytes.front()) == zlib_first_byte;
}

std::optional<std::string> decompress(const std::string& bytes, std::size_t most)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
    {
        return std::nullopt;
    }
    const std::unique_ptr<z_stream, int (*)(z_stream*)> ends(&stream, inflateEnd);
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string whole;
    int state = Z_OK;
    while (state == Z_OK && whole.size() < most)
    {
        const std::size_t before = whole.size();
        whole.resize(std::min(before + inflate_step, most));
        stream.next_out = reinterpret_cast<Bytef*>(whole.data() + before);
        stream.avail_out = static_cast<uInt>(whole.size() - before);
        state = inflate(&stream, Z_NO_FLUSH);
        whole.resize(whole.size() - stream.avail_out);
    }
    const bool complete = state == Z_STREAM_END && stream.avail_in == 0;
    return complete ? std::optional(std::move(whole)) : std::nullopt;
}

} // namespace flaxtiller::shell
