#include <flaxtiller/routing/route_host.hpp>

#include <algorithm>
#include <cctype>

namespace flaxtiller
{

namespace
{

/// @return where the colon before the port stands, or `npos` if the host has no port
std::size_t port_separator(std::string_view host) noexcept
{
    const auto colon = host.rfind(':');
    if (colon == std::string_view::npos ||
        host.find_first_not_of("0123456789", colon + 1) != std::string_view::npos)
    {
        return std::string_view::npos;
    }
    // The colons of an address without brackets separate its groups.
    const std::string_view name = host.substr(0, colon);
    const bool is_bracketed = !name.empty() && name.back() == ']';
    return is_bracketed || name.find(':') == std::string_view::npos ? colon : std::string_view::npos;
}

} // namespace

std::string comparable_host(std::string_view host)
{
    const auto separator = port_separator(host);
    const bool has_empty_port = separator != std::string_view::npos && separator + 1 == host.size();
    std::string comparable(has_empty_port ? host.substr(0, separator) : host);
    std::transform(comparable.begin(), comparable.end(), comparable.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return comparable;
}

std::string_view without_port(std::string_view host) noexcept
{
    return host.substr(0, port_separator(host));
}

} // namespace flaxtiller
