#pragma once

#include <flaxtiller/quorum/member.hpp>

#include <cstddef>
#include <functional>
#include <map>

namespace flaxtiller::quorum
{

/// @brief The members of a replicated log, as of one entry of the log. The voters among them form the quorum.
struct member_set
{
    std::map<replica_name, member> members;

    bool operator==(const member_set&) const = default;

    /// @return the number of voters
    std::size_t voters() const
    {
        std::size_t count = 0;
        for (const auto& [name, item] : members)
        {
            count += item.voter ? 1U : 0U;
        }
        return count;
    }

    /// @return the number of voters that form a majority
    std::size_t majority() const
    {
        return voters() / 2 + 1;
    }

    /// @return whether the replica is a voter under this incarnation
    bool is_voter(const replica_name& name, incarnation_id incarnation) const
    {
        const auto found = members.find(name);
        return found != members.end() && found->second.voter && found->second.incarnation == incarnation;
    }

    /// @return whether the voters for which @a holds returns true form a majority
    bool majority_of(const std::function<bool(const member&)>& holds) const
    {
        std::size_t count = 0;
        for (const auto& [name, item] : members)
        {
            count += item.voter && holds(item) ? 1U : 0U;
        }
        return voters() > 0 && count >= majority();
    }
};

} // namespace flaxtiller::quorum
