#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <cstdint>

namespace flaxtiller::quorum
{

/// @brief The name of a control replica, from its settings.
using replica_name = identifier<struct replica_tag>;

/// @brief Counts elections; at most one leader a term.
using term_number = std::int64_t;

/// @brief Position in the replicated log; the first entry has index 1.
using log_index = std::int64_t;

/// @brief Identity of a data folder, drawn when the folder is made. A wiped replica comes back as another
/// incarnation, whose votes and acknowledgements don't count until it is a member.
using incarnation_id = std::uint64_t;

} // namespace flaxtiller::quorum
