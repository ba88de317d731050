#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief A set of allowed regions: either all regions, or a list of names. Immutable.
class region_set
{
  public:
    /// @brief Creates a set that allows every region.
    region_set() = default;

    /// @brief Creates a set that allows only these regions. An empty @a names allows no region.
    explicit region_set(std::set<std::string> names) : m_names(std::move(names))
    {
    }

    /// @return whether the set allows every region, including regions that are not declared yet
    bool is_any() const noexcept
    {
        return !m_names.has_value();
    }

    /// @return whether the set allows no region
    bool is_none() const noexcept
    {
        return m_names && m_names->empty();
    }

    /// @param region the name of the region; empty if it is unknown, which only a set of all regions allows
    /// @return whether the set allows the region
    bool allows(const std::string& region) const
    {
        return is_any() || m_names->count(region) > 0;
    }

    /// @return the regions that both sets allow
    region_set intersection(const region_set& other) const;

    /// @return the names, or nothing if the set allows every region
    const std::optional<std::set<std::string>>& names() const noexcept
    {
        return m_names;
    }

    auto operator<=>(const region_set&) const = default;

  private:
    std::optional<std::set<std::string>> m_names;
};

/// @brief Writes null if the set allows every region, and the list of names otherwise.
void to_json(nlohmann::json& j, const region_set& value);

/// @throw nlohmann::json::exception if @a j is neither null nor a list of strings
void from_json(const nlohmann::json& j, region_set& value);

} // namespace flaxtiller
