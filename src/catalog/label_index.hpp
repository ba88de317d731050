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

/// @return the first label for which a selector accepts a single value, with that value, or a null pointer
inline const std::pair<const std::string, std::vector<std::string>>*
single_value_of(const selector& condition)
{
    const auto single = std::find_if(condition.requirements().begin(), condition.requirements().end(),
                                     [](const auto& requirement)
                                     {
                                         return requirement.second.size() == 1;
                                     });
    return single == condition.requirements().end() ? nullptr : &*single;
}

/// @brief An index of items by label values, which finds the items that match a selector without a check of
/// all items. The search uses the first label for which the selector accepts a single value.
template <typename Item>
class label_index
{
  public:
    /// @param items a map of the items, which must outlive the index
    /// @param labels_of a function that returns a reference to the labels of an item
    template <typename Items, typename LabelsOf>
    label_index(Items& items, LabelsOf labels_of)
    {
        for (auto& [name, item] : items)
        {
            m_all.push_back({&item, &labels_of(item)});
        }
    }

    /// @return the items that match @a condition, in the order of the map
    std::vector<Item*> matching(const selector& condition)
    {
        std::vector<Item*> found;
        for (const entry& item : candidates(condition))
        {
            if (condition.matches(*item.item_labels))
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
        const labels* item_labels;
    };
    using by_value = std::unordered_map<std::string, std::vector<entry>>;

    const std::vector<entry>& candidates(const selector& condition)
    {
        const auto* single = single_value_of(condition);
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
            const auto label = item.item_labels->find(key);
            if (label != item.item_labels->end())
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
