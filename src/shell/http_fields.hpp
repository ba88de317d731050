#pragma once

#include <flaxtiller/routing/backend_answer.hpp>

#include <string>
#include <string_view>

namespace flaxtiller::shell
{

/// @brief The header fields of one HTTP message, in the order in which they came. Names are compared without
/// regard to case; a name may stand several times.
class http_fields
{
  public:
    http_fields() = default;

    explicit http_fields(header_list items) : m_items(std::move(items))
    {
    }

    /// @return the first value of this name, or nothing
    const std::string* find(std::string_view name) const;

    /// @return the first value of this name, or an empty text
    std::string value(std::string_view name) const;

    /// @brief Adds a field at the end.
    void add(std::string name, std::string value);

    /// @brief Takes the place of all fields of this name.
    void set(std::string name, std::string value);

    /// @brief Removes all fields of this name.
    void remove(std::string_view name);

    /// @return the fields but for those that concern one connection only (RFC 9110, section 7.6.1), those
    /// that `Connection` names, and the body's framing
    header_list end_to_end() const;

    const header_list& items() const noexcept
    {
        return m_items;
    }

  private:
    header_list m_items;
};

} // namespace flaxtiller::shell
