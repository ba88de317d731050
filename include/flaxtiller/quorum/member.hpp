#pragma once

#include <flaxtiller/quorum/types.hpp>

namespace flaxtiller::quorum
{

/// @brief One replica of the log. A learner receives entries but neither votes nor counts for commitment.
struct member
{
    replica_name name;
    incarnation_id incarnation = 0;
    bool voter = false;

    bool operator==(const member&) const = default;
};

} // namespace flaxtiller::quorum
