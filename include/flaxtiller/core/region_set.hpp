#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief The regions in which something may be done: any region, or only those that are named. Immutable.
class region_set
{
  public:
    /// @brief Any region.
    region_set() = default;

    /// @brief Only these regions; none if there are none.
    explicit region_set(std::set<std::string> names) : m_names(std::move(names))
    {
    }

    /// @return whether every region is in the set, also one that nobody has named yet
    bool is_any() const noexcept
    {
        return !m_names.has_value();
    }

    /// @return whether no region is in the set
    bool is_none() const noexcept
    {
        return m_names && m_names->empty();
    }

    /// @param region the region's name; empty where it isn't known, which only @ref is_any allows
    bool allows(const std::string& region) const
    {
        return is_any() || m_names->count(region) > 0;
    }

    /// @return the regions that both sets allow
    region_set both(const region_set& other) const;

    /// @return the names; nothing where any region is in the set
    const std::optional<std::set<std::string>>& names() const noexcept
    {
        return m_names;
    }

    auto operator<=>(const region_set&) const = default;

  private:
    std::optional<std::set<std::string>> m_names;
};

/// @brief Null for any region, else the list of names.
void to_json(nlohmann::json& j, const region_set& value);

/// @throw nlohmann::json::exception for anything but null or a list of texts
void from_json(const nlohmann::json& j, region_set& value);

} // namespace flaxtiller
