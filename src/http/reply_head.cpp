#include "reply_head.hpp"

#include "http_grammar.hpp"
#include "http_status.hpp"

#include <charconv>
#include <optional>
#include <string>

namespace flaxtiller::shell
{

namespace
{

constexpr std::string_view version_prefix = "HTTP/1.";
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

/// @return whether the text consists of decimal digits and isn't empty
bool is_number(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

/// @return the status, or nothing if a byte of the text isn't a digit
/// @param digits three bytes
std::optional<int> parse_status(std::string_view digits)
{
    if (!is_number(digits))
    {
        return std::nullopt;
    }
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

} // namespace

bool reply_head::may_begin_with(std::string_view text)
{
    return version_prefix.substr(0, text.size()) == text.substr(0, version_prefix.size());
}

reply_fault reply_head::add_line(std::string_view line)
{
    if (m_status == 0)
    {
        return read_status_line(line);
    }
    if (line.empty())
    {
        m_is_complete = true;
        return has_clear_framing() ? reply_fault::none : reply_fault::framing;
    }
    const auto field = parse_field_line(line);
    if (!field)
    {
        return reply_fault::field;
    }
    m_fields.add(std::string(field->name), std::string(field->value));
    return reply_fault::none;
}

/// status-line = "HTTP/1." DIGIT SP 3DIGIT SP reason-phrase (RFC 9112, section 4)
reply_fault reply_head::read_status_line(std::string_view line)
{
    constexpr std::size_t version_at = version_prefix.size();
    constexpr std::size_t status_at = version_at + 2;
    constexpr std::size_t reason_at = status_at + 4;
    const bool has_shape = line.size() >= reason_at && may_begin_with(line) && line[status_at - 1] == ' ' &&
                           line[reason_at - 1] == ' ';
    if (!has_shape || (line[version_at] != '0' && line[version_at] != '1') ||
        !is_field_text(line.substr(reason_at)))
    {
        return reply_fault::status_line;
    }
    const auto status = parse_status(line.substr(status_at, reason_at - 1 - status_at));
    if (!status)
    {
        return reply_fault::status_line;
    }
    if (*status < first_status || *status > last_status || *status == http_switching_protocols)
    {
        return reply_fault::status;
    }
    m_is_old_version = line[version_at] == '0';
    m_status = *status;
    return reply_fault::none;
}

bool reply_head::is_interim() const noexcept
{
    return m_status < first_final_status;
}

/// A body has at most one length or the coding `chunked`. Other codings aren't removed, so the body would be
/// passed on as it isn't meant. An interim head has no body (RFC 9112, section 6).
bool reply_head::has_clear_framing() const
{
    const std::size_t lengths = m_fields.count("Content-Length");
    const std::size_t codings = m_fields.count("Transfer-Encoding");
    if (lengths + codings > 1)
    {
        return false;
    }
    if (is_interim() || (codings == 1 && m_is_old_version))
    {
        return lengths + codings == 0;
    }
    if (lengths == 1)
    {
        return is_number(m_fields.value("Content-Length"));
    }
    return codings == 0 || same_name(m_fields.value("Transfer-Encoding"), "chunked");
}

} // namespace flaxtiller::shell
