#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/catalog/placement_rule.hpp>

namespace flaxtiller::detail
{

/// @return the shard that @a rule assigns to @a server, or -1 if the label is missing or not a shard number
inline int shard_of(const placement_rule& rule, const backend_server& server)
{
    constexpr std::size_t max_digits = 4;
    const auto label = server.labels.find(rule.shard_label);
    if (label == server.labels.end() || label->second.empty() || label->second.size() > max_digits ||
        label->second.find_first_not_of("0123456789") != std::string::npos)
    {
        return -1;
    }
    return std::stoi(label->second);
}

} // namespace flaxtiller::detail
