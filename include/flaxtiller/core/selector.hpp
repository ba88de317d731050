#pragma once

#include <flaxtiller/core/labels.hpp>

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief A condition on labels, which matches if all of its requirements are met.
///
/// JSON form of a requirement: `{"tier": "gold"}` requires this value, `{"tier": ["gold", "silver"]}`
/// requires one of these values, and `{"tier": null}` requires the absence of the label. An empty selector
/// matches all labels.
class selector
{
  public:
    selector() = default;

    /// @brief Creates a selector from the accepted values of each label key. A key without accepted values
    /// requires the absence of the label.
    explicit selector(std::map<std::string, std::vector<std::string>> requirements);

    /// @return whether @a candidate meets every requirement
    /// @complexity O(requirements · log labels)
    bool matches(const labels& candidate) const;

    /// @return the sorted accepted values by label key
    const std::map<std::string, std::vector<std::string>>& requirements() const noexcept;

    bool operator==(const selector&) const = default;

  private:
    std::map<std::string, std::vector<std::string>> m_requirements;
};

void to_json(nlohmann::json& j, const selector& value);
void from_json(const nlohmann::json& j, selector& value);

} // namespace flaxtiller
