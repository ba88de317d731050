#pragma once

namespace flaxtiller::shell
{

/// @brief Why the bytes that a peer sent aren't a reply.
enum class reply_fault
{
    none,
    /// The first line isn't a status line of HTTP/1.0 or HTTP/1.1.
    status_line,
    /// The status is below 100, above 599, or 101, which only answers a request for another protocol.
    status,
    /// A line of the head or of the trailer isn't a field.
    field,
    /// Where the body ends isn't clear: its length or its coding is missing, unknown, repeated or
    /// contradictory, or a chunk is malformed.
    framing,
    /// The field of the request's id or of the signature occurs more than once.
    repeated_field,
    /// A line or the reply is larger than it may be, or all replies together are.
    too_large,
};

/// @return the name of the fault in logs; empty for `none`
constexpr const char* name_of(reply_fault fault)
{
    switch (fault)
    {
    case reply_fault::status_line:
        return "status_line";
    case reply_fault::status:
        return "status";
    case reply_fault::field:
        return "field";
    case reply_fault::framing:
        return "framing";
    case reply_fault::repeated_field:
        return "repeated_field";
    case reply_fault::too_large:
        return "too_large";
    case reply_fault::none:
        break;
    }
    return "";
}

} // namespace flaxtiller::shell
