#pragma once

#include <flaxtiller/catalog/backend_server.hpp>
#include <flaxtiller/catalog/placement_rule.hpp>

namespace flaxtiller::detail
{

/// @return the shard that @a rule gives to @a server, or -1 where the server's label names none
inline int shard_of(const placement_rule& rule, const backend_server& server)
{
    constexpr std::size_t most_digits = 4;
    const auto label = server.labels.find(rule.shard_label);
    if (label == server.labels.end() || label->second.empty() || label->second.size() > most_digits ||
        label->second.find_first_not_of("0123456789") != std::string::npos)
    {
        return -1;
    }
    return std::stoi(label->second);
}

} // namespace flaxtiller::detail
