#include <flaxtiller/dispatch/owner_choice.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::dispatch
{

namespace
{

/// One connection for a pipelined attempt and one for cancels.
constexpr int connections_beyond_slots = 2;

} // namespace

int candidate_count(const placed_service& service, int instances)
{
    int fewest = instances;
    for (const auto& replicas : service.shards)
    {
        for (const backend_server& server : replicas)
        {
            const int needed = server.slots + connections_beyond_slots;
            fewest = std::min(fewest, server.connection_limit / needed - 1);
        }
    }
    return std::max(fewest, 1);
}

connection_share share_of(const backend_server& server, int candidates)
{
    const int share = std::max(server.connection_limit / (candidates + 1), 1);
    const int connections = std::min(share, server.slots + connections_beyond_slots);
    return {connections, std::max(connections - 1, 1)};
}

connection_share direct_share_of(const backend_server& server, int instances)
{
    const int share = std::max(server.connection_limit / std::max(instances, 1), 1);
    const int connections = std::min(share, server.slots + 1);
    return {connections, connections};
}

std::vector<instance_name> owner_candidates(const service_name& service, int group, const placement& placed)
{
    std::vector<std::pair<std::uint64_t, instance_name>> ranked;
    for (const auto& [name, item] : placed.instances)
    {
        if (!item.leaving)
        {
            const std::string hashed_name = service.str() + '/' + std::to_string(group) + '/' + name.str();
            ranked.emplace_back(hash64(hashed_name), name);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    const auto found = placed.services.find(service);
    const int instances = static_cast<int>(ranked.size());
    const int most = found == placed.services.end() ? instances : candidate_count(*found->second, instances);
    std::vector<instance_name> candidates;
    for (const auto& [weight, name] : ranked)
    {
        if (static_cast<int>(candidates.size()) < most)
        {
            candidates.push_back(name);
        }
    }
    return candidates;
}

} // namespace flaxtiller::dispatch
