#pragma once

#include <optional>
#include <string_view>

namespace flaxtiller::shell
{

/// The end of each line of a head and a trailer.
constexpr std::string_view line_end = "\r\n";

/// @brief A header or trailer field as it stands in a message.
struct field_line
{
    std::string_view name;
    /// Without the blanks around it.
    std::string_view value;

    bool operator==(const field_line&) const = default;
};

/// @return the text without the blanks and tabs around it
std::string_view without_blanks(std::string_view text);

/// @return whether the text consists of bytes that values of fields and reason phrases may hold: visible
/// characters, blanks, tabs, and bytes from 0x80 (RFC 9110, section 5.5)
bool is_field_text(std::string_view text);

/// @brief Reads one line of a head or a trailer (RFC 9112, section 5).
/// @param line the line without its CRLF
/// @return the field, which refers to the line, or nothing if the line isn't a field: its name isn't a token,
/// its value holds a control byte, or it begins with a blank and so continues the line before it
std::optional<field_line> parse_field_line(std::string_view line);

/// @return whether each line of a text is a field
/// @param lines lines that end with CRLF; an empty line ends the text
bool are_field_lines(std::string_view lines);

} // namespace flaxtiller::shell
