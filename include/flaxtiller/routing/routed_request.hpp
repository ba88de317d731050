#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/region_set.hpp>
#include <flaxtiller/routing/backend_answer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A caller's request that a route passes on as it is.
struct routed_request
{
    /// The caller's own id; backend servers get the same.
    std::string id;
    std::string method;
    std::string host;
    /// Path and query.
    std::string target;
    /// Without those that concern one connection only, and without deadline.
    header_list headers;
    std::string body;
    /// The caller's team; empty for an anonymous one.
    team_name team;
    /// How long the caller waits.
    duration patience{};
    /// Set where another entry asks on its caller's behalf: the identity of the list of shards that it goes
    /// by. Only an entry whose route has the same list may run the request, lest parts of two shard maps are
    /// mixed.
    std::uint64_t delegated_list = 0;
    /// Set with it: the shards that shall be run, by their positions in that list.
    std::vector<std::size_t> delegated_shards;
    /// Set with it where a second entry may be asked, too: for each of those shards the backend server that
    /// both use beside at most one other, which is the first one's; see dispatch::subquery::designated.
    std::vector<backend_server_name> designated;
    /// Set with it: when a fan-out shall answer with what is in.
    duration answer_within{};
    /// Set with it: when to tell the asker what is in so far.
    duration progress_within{};
    /// Set with it: another entry may have run it already, so that all of it counts as repeated.
    bool is_repeated_delegation = false;
    /// Set with it: where the asker's route lets it run. The route that this entry knows binds, too.
    region_set delegated_regions;

    bool operator==(const routed_request&) const = default;

    /// @return whether another entry asks on its caller's behalf
    bool is_delegated() const noexcept
    {
        return delegated_list != 0;
    }
};

} // namespace flaxtiller
