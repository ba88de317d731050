#pragma once

#include <flaxtiller/catalog/configuration.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller::distribution
{

/// @brief Through which instances revisions reach each instance: a tree a region, whose root follows the
/// control replicas. Every instance works it out for itself from the configuration in force.
class relay_tree
{
  public:
    /// Instances that follow one instance directly.
    static constexpr std::size_t default_fan_out = 16;

    explicit relay_tree(const std::map<instance_name, instance>& instances,
                        std::size_t fan_out = default_fan_out);

    /// @return the instances above @a self, nearest first; where none can be reached it follows the control
    /// replicas. A neighbour's failure thus moves only those right below it.
    std::vector<instance_name> ancestors(const instance_name& self) const;

  private:
    struct place
    {
        std::string region;
        std::size_t position = 0;
    };

    std::size_t m_fan_out;
    std::map<std::string, std::vector<instance_name>> m_regions;
    std::map<instance_name, place> m_places;
};

} // namespace flaxtiller::distribution
