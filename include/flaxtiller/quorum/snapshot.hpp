#pragma once

#include <flaxtiller/quorum/member_set.hpp>
#include <flaxtiller/quorum/types.hpp>

#include <string>

namespace flaxtiller::quorum
{

/// @brief The replicated state after the entry @ref last_index. A snapshot replaces the entries up to this
/// index.
struct snapshot
{
    log_index last_index = 0;
    term_number last_term = 0;
    member_set members;
    std::string state;

    bool operator==(const snapshot&) const = default;
};

} // namespace flaxtiller::quorum
