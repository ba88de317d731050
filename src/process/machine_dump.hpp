#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quorum/replica.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>

namespace flaxtiller::shell
{

/// @return the name of a role, for dumps
inline const char* name_of(enum quorum::role role)
{
    switch (role)
    {
    case quorum::role::follower:
        return "follower";
    case quorum::role::pre_candidate:
        return "pre_candidate";
    case quorum::role::candidate:
        return "candidate";
    case quorum::role::leader:
        return "leader";
    }
    return "unknown";
}

/// @return the members of a replica's log, with what a leader knows of each
inline nlohmann::json members_of(const quorum::replica& node, time_point now)
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& [name, item] : node.members().members)
    {
        nlohmann::json row = {{"name", name}, {"voter", item.voter}, {"incarnation", item.incarnation}};
        const auto known = node.others().find(name);
        if (known != node.others().end())
        {
            row["match"] = known->second.match;
            row["heard_ms_ago"] = (now - known->second.last_contact).ms();
        }
        members.push_back(std::move(row));
    }
    return members;
}

/// @return the role of a replica of the machine, the numbers of voters and learners, and, at the leader, the
/// number of members whose last contact is older than the longest election timeout
template <typename Machine>
nlohmann::json quorum_metrics(Machine& machine, time_point now)
{
    constexpr duration silent_after = duration::from_ms(2000);
    const quorum::replica* node = machine.node();
    if (node == nullptr)
    {
        return {{"storage_failing", true}};
    }
    const auto silent = std::count_if(node->others().begin(), node->others().end(),
                                      [&](const auto& other)
                                      {
                                          return now - other.second.last_contact >= silent_after;
                                      });
    const std::size_t voters = node->members().voters();
    return {{"leads", node->role() == quorum::role::leader},
            {"knows_leader", !node->leader().empty()},
            {"term", node->term()},
            {"voters", voters},
            {"learners", node->members().members.size() - voters},
            {"silent_members", silent}};
}

/// @return the state of a replicated machine
template <typename Machine>
nlohmann::json dump_of(Machine& machine, time_point now)
{
    const quorum::replica* node = machine.node();
    if (node == nullptr)
    {
        return {{"storage_error", machine.storage_error().message()}};
    }
    nlohmann::json j = {{"role", name_of(node->role())},
                        {"term", node->term()},
                        {"leader", node->leader()},
                        {"incarnation", node->incarnation()},
                        {"commit", node->commit_index()},
                        {"applied", machine.applied()},
                        {"first_index", node->log().first_index()},
                        {"last_index", node->log().last_index()},
                        {"file_bytes", machine.file_bytes()},
                        {"syncs", machine.syncs()},
                        {"lease", node->has_lease(now)},
                        {"members", members_of(*node, now)}};
    for (const auto& [name, incarnation] : node->non_members())
    {
        j["strangers"].push_back({{"name", name}, {"incarnation", incarnation}});
    }
    return j;
}

} // namespace flaxtiller::shell
