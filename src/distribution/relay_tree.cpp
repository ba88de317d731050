#include <flaxtiller/distribution/relay_tree.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <tuple>

namespace flaxtiller::distribution
{

relay_tree::relay_tree(const std::map<instance_name, instance>& instances, std::size_t fan_out)
    : m_fan_out(std::max<std::size_t>(fan_out, 1))
{
    for (const auto& [name, item] : instances)
    {
        m_regions[item.region].push_back(name);
    }
    for (auto& [region, members] : m_regions)
    {
        // Leaving instances become leaves. The others are ordered by a hash, so that a new instance changes
        // the position of few others.
        const auto rank = [&](const instance_name& name)
        {
            return std::tuple(instances.at(name).leaving, hash64(name.str()), name);
        };
        std::sort(members.begin(), members.end(),
                  [&](const instance_name& a, const instance_name& b)
                  {
                      return rank(a) < rank(b);
                  });
        for (std::size_t position = 0; position < members.size(); ++position)
        {
            m_positions[members[position]] = {region, position};
        }
    }
}

std::vector<instance_name> relay_tree::ancestors(const instance_name& self) const
{
    std::vector<instance_name> above;
    const auto found = m_positions.find(self);
    if (found == m_positions.end())
    {
        return above;
    }
    const auto& members = m_regions.at(found->second.region);
    std::size_t position = found->second.position;
    while (position > 0)
    {
        position = (position - 1) / m_fan_out;
        above.push_back(members[position]);
    }
    return above;
}

} // namespace flaxtiller::distribution
