#pragma once

#include <flaxtiller/core/identifier.hpp>

#include <cstdint>

namespace flaxtiller::quorum
{

/// @brief The name of a control replica, as given in its settings.
using replica_name = identifier<struct replica_tag>;

/// @brief The number of an election term. Each term has at most one leader.
using term_number = std::int64_t;

/// @brief A position in the replicated log. The first entry has index 1.
using log_index = std::int64_t;

/// @brief The identity of a data folder, generated when the folder is initialized. A replica that lost its
/// data folder returns under a new incarnation, whose votes and acknowledgements do not count until it is a
/// member.
using incarnation_id = std::uint64_t;

} // namespace flaxtiller::quorum
