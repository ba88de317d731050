#pragma once

#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A condition over labels; all its requirements must hold.
///
/// In JSON: `{"tier": "gold"}` the label has this value, `{"tier": ["gold", "silver"]}` one of these,
/// `{"tier": null}` the label is absent. The empty selector matches everything.
class selector
{
  public:
    selector() = default;

    /// @brief Makes a selector; a key with no accepted values requires the label's absence.
    explicit selector(std::map<std::string, std::vector<std::string>> requirements);

    /// @return whether @a candidate meets every requirement; O(requirements · log labels)
    bool matches(const labels& candidate) const;

    /// @return label key to accepted values, sorted
    const std::map<std::string, std::vector<std::string>>& requirements() const noexcept;

    bool operator==(const selector&) const = default;

  private:
    std::map<std::string, std::vector<std::string>> m_requirements;
};

void to_json(nlohmann::json& j, const selector& value);
void from_json(const nlohmann::json& j, selector& value);

} // namespace flaxtiller
