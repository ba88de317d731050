#pragma once

#include <cstdint>

namespace flaxtiller::shell
{

/// @return the wall clock in Unix milliseconds; only for what is shown or sent, never for a span
std::int64_t unix_ms();

/// @return 64 bits from the system's source of randomness
std::uint64_t draw64();

} // namespace flaxtiller::shell
