#pragma once

#include <flaxtiller/core/selector.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flaxtiller::detail
{

/// @return the first label for which a selector accepts a single value, with that value; or nothing
inline const std::pair<const std::string, std::vector<std::string>>* single_value_of(const selector& wanted)
{
    const auto single = std::find_if(wanted.requirements().begin(), wanted.requirements().end(),
                                     [](const auto& requirement)
                                     {
                                         return requirement.second.size() == 1;
                                     });
    return single == wanted.requirements().end() ? nullptr : &*single;
}

/// @brief Finds the items that a selector may match without looking at all: by the first label that it
/// requires.
template <typename Item>
class label_index
{
  public:
    /// @param items what is searched; must outlive the index
    /// @param labels_of an item's labels
    template <typename Items, typename LabelsOf>
    label_index(Items& items, LabelsOf labels_of)
    {
        for (auto& [name, item] : items)
        {
            m_all.push_back({&item, &labels_of(item)});
        }
    }

    /// @return the items that @a wanted matches, in their order
    std::vector<Item*> matching(const selector& wanted)
    {
        std::vector<Item*> found;
        for (const entry& item : candidates(wanted))
        {
            if (wanted.matches(*item.its_labels))
            {
                found.push_back(item.item);
            }
        }
        return found;
    }

  private:
    struct entry
    {
        Item* item;
        const labels* its_labels;
    };
    using by_value = std::unordered_map<std::string, std::vector<entry>>;

    const std::vector<entry>& candidates(const selector& wanted)
    {
        const auto* single = single_value_of(wanted);
        if (single == nullptr)
        {
            return m_all;
        }
        const auto& [key, accepted] = *single;
        auto known = m_by_key.find(key);
        if (known == m_by_key.end())
        {
            known = m_by_key.emplace(key, by_value_of(key)).first;
        }
        return known->second[accepted.front()];
    }

    by_value by_value_of(const std::string& key) const
    {
        by_value values;
        for (const entry& item : m_all)
        {
            const auto label = item.its_labels->find(key);
            if (label != item.its_labels->end())
            {
                values[label->second].push_back(item);
            }
        }
        return values;
    }

    std::vector<entry> m_all;
    std::map<std::string, by_value> m_by_key;
};

} // namespace flaxtiller::detail
