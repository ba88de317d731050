#pragma once

#include "http/address.hpp"

#include <string>

namespace flaxtiller::stand_in
{

/// @brief Asks over kept connections for a while and prints one line of JSON: requests a second and
/// latencies.
/// @return the exit status
int run_load(const shell::address& target, const std::string& path, const std::string& body, int connections,
             int seconds);

} // namespace flaxtiller::stand_in
