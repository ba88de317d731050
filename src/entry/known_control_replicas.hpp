#pragma once

#include "process/settings.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace flaxtiller::shell
{

/// @brief The control replicas that an entry can contact: the replicas named in the settings of the entry,
/// every replica on the member list of any reachable replica, and, while the entry has no contact to a
/// leader, those that another entry named.
///
/// The result is the union of all member lists, so a list that lacks a replica doesn't remove a replica that
/// another list names. A replica that lost its data lists only the founding members until it has received the
/// replicated log again, and the leader may not be one of the founding members.
class known_control_replicas
{
  public:
    explicit known_control_replicas(std::vector<named_address> configured)
        : m_configured(std::move(configured)), m_replicas(m_configured)
    {
    }

    /// @brief Sets the replicas that the settings name.
    /// @return whether the set of known replicas changed
    bool set_configured(std::vector<named_address> configured)
    {
        m_configured = std::move(configured);
        return update();
    }

    /// @brief Stores the member list that a replica sent; it replaces the previous list of this replica.
    /// @param from name of the sending replica
    /// @param names link addresses of all members in the log of the sending replica
    /// @return whether the set of known replicas changed
    bool on_member_list(const std::string& from, const std::vector<std::string>& names)
    {
        m_reported[from] = names;
        return update();
    }

    /// @brief Discards the member list of a replica that became unreachable, unless it is the only list.
    /// @return whether the set of known replicas changed
    bool on_unreachable(const std::string& from)
    {
        if (m_reported.size() < 2)
        {
            return false;
        }
        return m_reported.erase(from) > 0 && update();
    }

    /// @brief Adds the replicas that another entry named, until @ref forget_named_by_entries.
    /// @return whether the set of known replicas changed
    bool on_named_by_entry(const std::vector<std::string>& names)
    {
        m_named_by_entries.insert(names.begin(), names.end());
        return update();
    }

    /// @brief Discards the replicas that only other entries named.
    /// @return whether the set of known replicas changed
    bool forget_named_by_entries()
    {
        if (m_named_by_entries.empty())
        {
            return false;
        }
        m_named_by_entries.clear();
        return update();
    }

    /// @return the names of all replicas on the member lists
    std::vector<std::string> on_member_lists() const
    {
        std::set<std::string> names;
        for (const auto& [from, listed] : m_reported)
        {
            names.insert(listed.begin(), listed.end());
        }
        return {names.begin(), names.end()};
    }

    /// @brief Discards the lists of replicas that are unreachable while other lists are left. To be called
    /// when a leader has confirmed the configuration: the replicas that can be contacted then include a
    /// present one.
    /// @return whether the set of known replicas changed
    bool discard_lists_except(const std::set<std::string>& reachable)
    {
        const auto is_unreachable = [&](const auto& item)
        {
            return reachable.count(item.first) == 0;
        };
        if (std::all_of(m_reported.begin(), m_reported.end(), is_unreachable))
        {
            return false;
        }
        return std::erase_if(m_reported, is_unreachable) > 0 && update();
    }

    /// @return the addresses of the known replicas, starting with the replicas from the settings
    const std::vector<named_address>& addresses() const noexcept
    {
        return m_replicas;
    }

    /// @return the name of the known replica that sorts first; empty if no replica is known
    std::string first_by_name() const
    {
        const auto least = std::min_element(m_replicas.begin(), m_replicas.end(),
                                            [](const named_address& a, const named_address& b)
                                            {
                                                return a.name < b.name;
                                            });
        return least == m_replicas.end() ? std::string() : least->name;
    }

    /// @return whether a replica with this name is known
    bool knows(const std::string& name) const
    {
        return holds(m_replicas, name);
    }

  private:
    static bool holds(const std::vector<named_address>& list, const std::string& name)
    {
        return std::any_of(list.begin(), list.end(),
                           [&](const named_address& item)
                           {
                               return item.name == name;
                           });
    }

    template <typename Names>
    static void add(std::vector<named_address>& list, const Names& names)
    {
        for (const std::string& name : names)
        {
            const auto at = parse_address(name);
            if (at && !holds(list, name))
            {
                list.push_back({name, *at});
            }
        }
    }

    bool update()
    {
        std::vector<named_address> next = m_configured;
        for (const auto& [from, names] : m_reported)
        {
            add(next, names);
        }
        add(next, m_named_by_entries);
        const bool changed = !(next == m_replicas);
        m_replicas = std::move(next);
        return changed;
    }

    std::vector<named_address> m_configured;
    std::map<std::string, std::vector<std::string>> m_reported;
    std::set<std::string> m_named_by_entries;
    std::vector<named_address> m_replicas;
};

} // namespace flaxtiller::shell
