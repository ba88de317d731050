#include "http_grammar.hpp"

#include <algorithm>

namespace flaxtiller::shell
{

namespace
{

/// Independent of the locale, unlike `std::isalnum`.
bool is_alphanumeric(char byte)
{
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
}

/// @return whether the byte may stand in a token (RFC 9110, section 5.6.2)
bool is_token_byte(char byte)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return is_alphanumeric(byte) || symbols.find(byte) != std::string_view::npos;
}

bool is_text_byte(char byte)
{
    constexpr unsigned char first_visible = 0x20;
    constexpr unsigned char delete_byte = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= first_visible && code != delete_byte);
}

} // namespace

std::string_view without_blanks(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

bool is_field_text(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), is_text_byte);
}

std::optional<field_line> parse_field_line(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return std::nullopt;
    }
    const std::string_view name = line.substr(0, colon);
    const std::string_view value = line.substr(colon + 1);
    if (!std::all_of(name.begin(), name.end(), is_token_byte) || !is_field_text(value))
    {
        return std::nullopt;
    }
    return field_line{name, without_blanks(value)};
}

bool are_field_lines(std::string_view lines)
{
    while (!lines.empty() && lines.substr(0, line_end.size()) != line_end)
    {
        const auto end = lines.find(line_end);
        if (end == std::string_view::npos || !parse_field_line(lines.substr(0, end)))
        {
            return false;
        }
        lines.remove_prefix(end + line_end.size());
    }
    return true;
}

} // namespace flaxtiller::shell
