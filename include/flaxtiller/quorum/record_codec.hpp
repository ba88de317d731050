#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace flaxtiller::quorum
{

/// @brief The content type of a record in a log file.
enum class record_kind : std::uint8_t
{
    identity = 1,
    base = 2,
    hard = 3,
    entry = 4,
    truncate = 5,
};

/// @brief The result of reading a log file at an offset.
enum class record_state
{
    intact_record,
    /// The file ends within the record, because the process or the instance stopped during the write.
    torn,
    /// A checksum does not match.
    corrupt,
    /// The offset is the end of the file.
    end,
};

/// @brief One record read from a log file.
struct record
{
    record_state state = record_state::end;
    record_kind kind = record_kind::identity;
    std::string_view payload;
    /// The number of bytes of the record in the file, header included.
    std::size_t size = 0;
};

/// @brief Appends a record to @a file: length, kind, checksum of length and kind, checksum of the payload,
/// and payload.
void append_record(std::string& file, record_kind kind, std::string_view payload);

/// @brief Reads the record at @a offset. The header has a checksum of its own, so that a record with a
/// damaged length is reported as `corrupt` and not as `torn`.
record read_record(std::string_view file, std::size_t offset);

} // namespace flaxtiller::quorum
