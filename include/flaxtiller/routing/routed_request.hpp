#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/routing/backend_answer.hpp>
#include <flaxtiller/routing/execution_rules.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A caller's request that is forwarded to backend servers unchanged, or delegated to another entry.
struct routed_request
{
    /// The caller's request id, forwarded to backend servers.
    std::string id;
    std::string method;
    std::string host;
    /// Path and query.
    std::string target;
    /// The end-to-end header fields without the deadline.
    header_list headers;
    std::string body;
    /// The caller's team; empty for an anonymous one.
    team_name team;
    /// The time that the caller waits for the answer.
    duration patience{};
    /// The @ref list_id of the delegating entry's list of shards; 0 if the request is not delegated. Only an
    /// entry whose route has the same list may run the request; otherwise parts of two shard maps would be
    /// mixed.
    std::uint64_t delegated_list = 0;
    /// The delegated shards, as positions in that list.
    std::vector<std::size_t> delegated_shards;
    /// For each delegated shard, the backend server that every entry running the shard uses; set if the
    /// shards may be delegated to a second entry. The first entry may use one other backend server in
    /// addition, so the limit on attempts holds over both entries; see dispatch::subquery::designated.
    std::vector<backend_server_name> designated;
    /// The time after which the delegating entry needs the received parts.
    duration answer_within{};
    /// The time after which the first partial outcome is sent to the delegating entry.
    duration progress_within{};
    /// Whether another entry may have run the shards already, so that each attempt counts as a repetition.
    bool is_repeated_delegation = false;
    /// The regions that the delegating entry's route allows. The route of this entry applies as well.
    region_set delegated_regions;
    /// The rules of the delegating entry's route, which apply in place of those of this entry's route. Not
    /// set by processes of older builds.
    std::optional<execution_rules> delegated_rules;

    bool operator==(const routed_request&) const = default;

    /// @return whether another entry delegated the request to this one
    bool is_delegated() const noexcept
    {
        return delegated_list != 0;
    }
};

} // namespace flaxtiller
