#pragma once

#include "shell/settings.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Which control replicas an entry knows: those of its settings, and those that any replica that can
/// be reached names.
///
/// One replica's word doesn't take away what another one says: a wiped one knows the founders only, until it
/// has learned the log again, and the leader may not be among these.
class known_control_replicas
{
  public:
    explicit known_control_replicas(std::vector<named_address> configured)
        : m_configured(std::move(configured)), m_replicas(m_configured)
    {
    }

    /// @brief A replica named all that its log has.
    /// @return whether the known replicas changed
    bool on_member_list(const std::string& from, const std::vector<std::string>& names)
    {
        m_reported[from] = names;
        return update();
    }

    /// @brief A replica can't be reached any more: its word counts only as long as no other one's is there.
    /// @return whether the known replicas changed
    bool on_unreachable(const std::string& from)
    {
        if (m_reported.size() < 2)
        {
            return false;
        }
        return m_reported.erase(from) > 0 && update();
    }

    /// @return the known replicas; those of the settings first
    const std::vector<named_address>& replicas() const noexcept
    {
        return m_replicas;
    }

    /// @return the first of the known replicas by name; empty where none is known
    std::string first_by_name() const
    {
        const auto least = std::min_element(m_replicas.begin(), m_replicas.end(),
                                            [](const named_address& a, const named_address& b)
                                            {
                                                return a.name < b.name;
                                            });
        return least == m_replicas.end() ? std::string() : least->name;
    }

    /// @return whether a replica of this name is known
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

    bool update()
    {
        std::vector<named_address> next = m_configured;
        for (const auto& [from, names] : m_reported)
        {
            for (const std::string& name : names)
            {
                const auto at = parse_address(name);
                if (at && !holds(next, name))
                {
                    next.push_back({name, *at});
                }
            }
        }
        const bool changed = !(next == m_replicas);
        m_replicas = std::move(next);
        return changed;
    }

    std::vector<named_address> m_configured;
    std::map<std::string, std::vector<std::string>> m_reported;
    std::vector<named_address> m_replicas;
};

} // namespace flaxtiller::shell
