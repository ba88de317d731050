#pragma once

#include <flaxtiller/core/finding.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace flaxtiller
{

/// @brief The findings of one check, which are reported together.
///
/// Lists at most @ref max_listed errors and as many warnings, because a document may have an error in each of
/// its values. The item @ref errc::findings_omitted follows if there are more.
class findings
{
  public:
    /// The number of errors, and of warnings, that are listed.
    static constexpr std::size_t max_listed = 50;
    /// The maximum size of a place and of a message; longer ones are cut.
    static constexpr std::size_t max_text_bytes = 256;

    /// @brief Adds an error at @a place.
    void error(errc code, std::string place, std::string message);

    /// @brief Adds a warning at @a place.
    void warning(errc code, std::string place, std::string message);

    /// @brief Appends all findings of @a other.
    void append(const findings& other);

    /// @return whether at least one finding is an error
    bool has_errors() const noexcept;

    /// @return whether no further error is listed, so that a reader may stop
    bool is_full() const noexcept;

    /// @return all findings in the order in which they were added
    const std::vector<finding>& items() const noexcept;

    /// @return one line per finding, such as `error 103 at /entry/thread: unknown key: ...`
    std::string to_text() const;

    bool operator==(const findings&) const = default;

  private:
    void add(severity level, errc code, std::string place, std::string message);

    std::vector<finding> m_items;
    std::size_t m_errors = 0;
    std::size_t m_warnings = 0;
};

void to_json(nlohmann::json& j, const findings& value);
void from_json(const nlohmann::json& j, findings& value);

} // namespace flaxtiller
