#pragma once

#include <flaxtiller/core/finding.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The findings of one check, which are reported together.
class findings
{
  public:
    /// @brief Adds an error at @a place.
    void error(errc code, std::string place, std::string message);

    /// @brief Adds a warning at @a place.
    void warning(errc code, std::string place, std::string message);

    /// @brief Appends all findings of @a other.
    void append(const findings& other);

    /// @return whether at least one finding is an error
    bool has_errors() const noexcept;

    /// @return all findings in the order in which they were added
    const std::vector<finding>& items() const noexcept;

    /// @return one line per finding, such as `error 103 at /entry/thread: unknown key: ...`
    std::string to_text() const;

    bool operator==(const findings&) const = default;

  private:
    std::vector<finding> m_items;
};

void to_json(nlohmann::json& j, const findings& value);
void from_json(const nlohmann::json& j, findings& value);

} // namespace flaxtiller
