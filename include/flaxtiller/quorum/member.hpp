#pragma once

#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief A replica that belongs to the replicated log. A voter takes part in elections and commitment. A
/// learner receives entries, but does not vote and does not count towards commitment.
struct member
{
    replica_name name;
    incarnation_id incarnation = 0;
    bool voter = false;

    bool operator==(const member&) const = default;
};

} // namespace flaxtiller::quorum
