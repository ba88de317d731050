#include "address.hpp"

#include <boost/asio/ip/address.hpp>

namespace flaxtiller::shell
{

std::string address::str() const
{
    return ip + ":" + std::to_string(port);
}

std::optional<address> parse_address(const std::string& text)
{
    constexpr std::size_t most_digits = 5;
    constexpr unsigned long highest_port = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string ip = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    boost::system::error_code malformed;
    boost::asio::ip::make_address(ip, malformed);
    const bool digits = !port.empty() && port.size() <= most_digits &&
                        port.find_first_not_of("0123456789") == std::string::npos;
    if (malformed || !digits || std::stoul(port) > highest_port)
    {
        return std::nullopt;
    }
    return address{ip, static_cast<std::uint16_t>(std::stoul(port))};
}

} // namespace flaxtiller::shell
