#pragma once

#include <flaxtiller/registration/refused_report.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @return the name of a state, as lines and messages state it
std::string name_of(registration_state state);

/// @brief Logs reports on backend servers that were refused as not newer: what is known, and what was
/// refused.
/// @param from the process that sent them
void log_refused_reports(const std::vector<refused_report>& refused, const std::string& from);

/// @return the names of those changed backend servers that receive no new work, joined by commas; of many,
/// the first ones only
std::string unavailable_names(const std::vector<registration>& changes);

} // namespace flaxtiller::shell
