#pragma once

#include <flaxtiller/registration/registration.hpp>

#include <cstdint>

namespace flaxtiller
{

/// @brief A report on a backend server that a registry refused as not newer, although it states something
/// else than the registry knows.
struct refused_report
{
    backend_server_name id;
    registration_state known_state = registration_state::ready;
    std::int64_t known_sequence = 0;
    registration_state refused_state = registration_state::ready;
    std::int64_t refused_sequence = 0;

    bool operator==(const refused_report&) const = default;
};

} // namespace flaxtiller
