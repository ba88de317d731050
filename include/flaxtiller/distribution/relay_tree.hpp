#pragma once

#include <flaxtiller/catalog/configuration.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief The trees through which configuration revisions are relayed to the instances.
///
/// Each region has one tree, whose root follows the control replicas. Every other instance follows an
/// instance above it. Each instance computes the trees from its active configuration.
class relay_tree
{
  public:
    /// The number of instances that follow one instance directly.
    static constexpr std::size_t default_fan_out = 16;

    explicit relay_tree(const std::map<instance_name, instance>& instances,
                        std::size_t fan_out = default_fan_out);

    /// @return the ancestors of @a self, nearest first
    ///
    /// An instance follows its nearest reachable ancestor, or the control replicas if it reaches none. The
    /// failure of an instance thus affects only its direct followers.
    std::vector<instance_name> ancestors(const instance_name& self) const;

  private:
    struct tree_position
    {
        std::string region;
        std::size_t position = 0;
    };

    std::size_t m_fan_out;
    std::map<std::string, std::vector<instance_name>> m_regions;
    std::map<instance_name, tree_position> m_positions;
};

} // namespace flaxtiller::distribution
