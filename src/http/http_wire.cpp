#include "http_wire.hpp"

#include <string_view>

namespace flaxtiller::shell
{

namespace
{

/// @return whether the request has a `Content-Length`. A request without a body has one if its method usually
/// has a body (RFC 9110, section 8.6).
bool needs_content_length(const http_exchange& request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT" ||
           request.method == "PATCH";
}

void append_field(std::string& text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace

std::string serialize_request(const http_exchange& request)
{
    constexpr std::size_t fixed_bytes = 64;
    std::size_t size = request.method.size() + request.target.size() + request.body.size() + fixed_bytes;
    for (const auto& [name, value] : request.headers.items())
    {
        size += name.size() + value.size() + 4;
    }
    std::string text;
    text.reserve(size);
    text += request.method;
    text += ' ';
    text += request.target;
    text += " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers.items())
    {
        append_field(text, name, value);
    }
    if (needs_content_length(request))
    {
        append_field(text, "Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace flaxtiller::shell
