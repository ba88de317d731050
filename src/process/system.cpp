#include "system.hpp"

#include <chrono>
#include <random>

namespace flaxtiller::shell
{

std::int64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::uint64_t draw64()
{
    constexpr unsigned half = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

} // namespace flaxtiller::shell
