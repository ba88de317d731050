#include <flaxtiller/catalog/placement.hpp>

#include "shard_label.hpp"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

namespace
{

void add_once(std::vector<backend_server>& holders, const backend_server& server)
{
    const auto same = [&](const backend_server& other)
    {
        return other.name == server.name;
    };
    if (std::none_of(holders.begin(), holders.end(), same))
    {
        holders.push_back(server);
    }
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
        const auto single = std::find_if(wanted.requirements().begin(), wanted.requirements().end(),
                                         [](const auto& requirement)
                                         {
                                             return requirement.second.size() == 1;
                                         });
        if (single == wanted.requirements().end())
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

} // namespace

placement place(std::int64_t revision, const configuration& value)
{
    placement placed;
    placed.revision = revision;
    placed.instances = value.instances;
    for (const auto& [name, definition] : value.services)
    {
        placed_service entry{definition, {}};
        entry.shards.resize(static_cast<std::size_t>(definition.shards));
        placed.services.emplace(name, std::move(entry));
    }
    label_index<placed_service> services(placed.services,
                                         [](const placed_service& item) -> const labels&
                                         {
                                             return item.definition.labels;
                                         });
    label_index<const backend_server> servers(value.backend_servers,
                                              [](const backend_server& item) -> const labels&
                                              {
                                                  return item.labels;
                                              });
    for (const auto& [rule_name, rule] : value.placement_rules)
    {
        const std::vector<placed_service*> targets = services.matching(rule.services);
        for (const backend_server* server : servers.matching(rule.backend_servers))
        {
            const int shard = detail::shard_of(rule, *server);
            for (placed_service* target : targets)
            {
                if (shard >= 0 && shard < target->definition.shards)
                {
                    add_once(target->shards[static_cast<std::size_t>(shard)], *server);
                }
            }
        }
    }
    return placed;
}

} // namespace flaxtiller
