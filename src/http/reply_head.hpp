#pragma once

#include "http_fields.hpp"
#include "reply_fault.hpp"

#include <string_view>
#include <utility>

namespace flaxtiller::shell
{

/// @brief The head of an HTTP/1.1 reply: status line and fields, read line by line.
///
/// It decides whether lines are the head of a reply at all, before anything else relies on them. Parsers of
/// libraries take more: any three digits as a status, lines that continue the one before, several lengths.
class reply_head
{
  public:
    /// @return whether a status line may begin with this text
    static bool may_begin_with(std::string_view text);

    /// @brief Reads the next line.
    /// @param line the line without its CRLF; an empty line completes the head
    /// @return what is wrong with the line, or with the head that it completes
    reply_fault add_line(std::string_view line);

    /// @return whether the empty line after the fields was read
    bool is_complete() const noexcept
    {
        return m_is_complete;
    }

    /// @return whether this head precedes the actual reply (RFC 9110, section 15.2)
    bool is_interim() const noexcept;

    int status() const noexcept
    {
        return m_status;
    }

    const http_fields& fields() const noexcept
    {
        return m_fields;
    }

    /// @brief Moves the fields out.
    http_fields take_fields()
    {
        return std::move(m_fields);
    }

  private:
    reply_fault read_status_line(std::string_view line);
    bool has_clear_framing() const;

    bool m_is_complete = false;
    /// Whether the peer speaks HTTP/1.0, which has no transfer codings.
    bool m_is_old_version = false;
    /// 0 before the status line.
    int m_status = 0;
    http_fields m_fields;
};

} // namespace flaxtiller::shell
