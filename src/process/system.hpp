#pragma once

#include <cstdint>

namespace flaxtiller::shell
{

/// @return the wall clock in Unix milliseconds; only for what is shown or sent, never for a span
std::int64_t unix_ms();

/// @return 64 bits from the system's source of randomness
std::uint64_t draw64();

/// @return a random number to start the numbers of messages with, so that an answer to an earlier run of the
/// process fits no number of this run. It is greater than 0 and leaves room to count on.
inline std::uint64_t first_number_of_run()
{
    return (draw64() >> 1U) | 1U;
}

} // namespace flaxtiller::shell
