#pragma once

#include <cmath>
#include <cstdint>

namespace flaxtiller
{

/// @return the @a n th value of a sequence in [0, 1) whose first values are evenly spread, however many there
/// are: the multiples of the golden ratio, modulo 1
inline double spread_fraction(std::uint64_t n)
{
    constexpr double golden_ratio = 0.6180339887498949;
    return std::fmod(static_cast<double>(n) * golden_ratio, 1.0);
}

} // namespace flaxtiller
