#include <flaxtiller/quorum/record_codec.hpp>

#include <flaxtiller/core/hash.hpp>

#include <array>
#include <cstring>

namespace flaxtiller::quorum
{

namespace
{

// The header layout, little-endian: u32 length, u8 kind, u32 header checksum, u64 payload checksum.
constexpr std::size_t length_at = 0;
constexpr std::size_t kind_at = 4;
constexpr std::size_t header_check_at = 5;
constexpr std::size_t payload_check_at = 9;
constexpr std::size_t header_size = 17;

template <typename Number>
Number load(std::string_view file, std::size_t offset)
{
    Number value = 0;
    std::memcpy(&value, file.data() + offset, sizeof value);
    return value;
}

template <typename Number>
void store(std::array<char, header_size>& header, std::size_t offset, Number value)
{
    std::memcpy(header.data() + offset, &value, sizeof value);
}

std::uint32_t header_check(std::string_view length_and_kind)
{
    return static_cast<std::uint32_t>(hash64(length_and_kind));
}

} // namespace

void append_record(std::string& file, record_kind kind, std::string_view payload)
{
    std::array<char, header_size> header{};
    store(header, length_at, static_cast<std::uint32_t>(payload.size()));
    store(header, kind_at, static_cast<std::uint8_t>(kind));
    store(header, header_check_at, header_check({header.data(), header_check_at}));
    store(header, payload_check_at, hash64(payload));
    file.append(header.data(), header.size());
    file.append(payload);
}

record read_record(std::string_view file, std::size_t offset)
{
    record found;
    const std::size_t remaining = file.size() - offset;
    if (remaining == 0)
    {
        return found;
    }
    if (remaining < header_size)
    {
        found.state = record_state::torn;
        return found;
    }
    if (load<std::uint32_t>(file, offset + header_check_at) !=
        header_check(file.substr(offset, header_check_at)))
    {
        found.state = record_state::corrupt;
        return found;
    }
    const std::size_t length = load<std::uint32_t>(file, offset + length_at);
    if (remaining - header_size < length)
    {
        found.state = record_state::torn;
        return found;
    }
    found.kind = static_cast<record_kind>(load<std::uint8_t>(file, offset + kind_at));
    found.payload = file.substr(offset + header_size, length);
    found.size = header_size + length;
    const bool checksum_matches =
        load<std::uint64_t>(file, offset + payload_check_at) == hash64(found.payload);
    found.state = checksum_matches ? record_state::intact_record : record_state::corrupt;
    return found;
}

} // namespace flaxtiller::quorum
