#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace flaxtiller::quorum
{

/// @brief What a record of a log file holds.
enum class record_kind : std::uint8_t
{
    identity = 1,
    base = 2,
    hard = 3,
    entry = 4,
    truncate = 5,
};

/// @brief What stands at a place of a log file.
enum class record_state
{
    intact_record,
    /// The file ends within the record: it was being written when the process or machine stopped.
    torn,
    /// The record is there in full length but its checksum differs.
    corrupt,
    /// Nothing follows.
    end,
};

/// @brief One record read from a log file.
struct record
{
    record_state state = record_state::end;
    record_kind kind = record_kind::identity;
    std::string_view payload;
    /// Bytes that it takes in the file.
    std::size_t size = 0;
};

/// @brief Adds a record to @a file: length, kind, checksum of both, checksum of the payload, payload.
void append_record(std::string& file, record_kind kind, std::string_view payload);

/// @brief Reads the record at @a offset. A length that can't be trusted is `corrupt`, never `torn`, since the
/// header has a checksum of its own.
record read_record(std::string_view file, std::size_t offset);

} // namespace flaxtiller::quorum
