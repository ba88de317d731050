#pragma once

#include <string>
#include <string_view>

namespace flaxtiller
{

/// @brief Brings the host of a route or of a request's Host header field into the form in which hosts are
/// compared: two texts name the same host exactly if their forms are equal.
///
/// Upper and lower case are the same, and an empty port is none. A final dot counts, and so does each digit
/// of a port.
/// @param host a name or an address, with or without a port; an IPv6 address in brackets
/// @return the host in this form
std::string comparable_host(std::string_view host);

/// @param host a host as returned by @ref comparable_host
/// @return the host without its port; all of it if it has none
std::string_view without_port(std::string_view host) noexcept;

} // namespace flaxtiller
