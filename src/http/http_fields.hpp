#pragma once

#include <flaxtiller/routing/backend_answer.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace flaxtiller::shell
{

/// @return whether two names of fields, or other words that are compared case-insensitively, are the same
bool same_name(std::string_view a, std::string_view b);

/// @brief The header fields of an HTTP message, in the order of the message. Names are compared
/// case-insensitively, and several fields may have the same name.
class http_fields
{
  public:
    http_fields() = default;

    explicit http_fields(header_list items) : m_items(std::move(items))
    {
    }

    /// @return the value of the first field with this name, or null
    const std::string* find(std::string_view name) const;

    /// @return the value of the first field with this name, or an empty string
    std::string value(std::string_view name) const;

    /// @return the number of fields with this name
    std::size_t count(std::string_view name) const;

    /// @brief Appends a field.
    void add(std::string name, std::string value);

    /// @brief Replaces all fields with this name by one field.
    void set(std::string name, std::string value);

    /// @brief Removes all fields with this name.
    void remove(std::string_view name);

    /// @return the end-to-end fields: all fields but the hop-by-hop fields (RFC 9110, section 7.6.1), the
    /// fields that `Connection` lists, and the fields that frame the body
    header_list end_to_end() const;

    const header_list& items() const noexcept
    {
        return m_items;
    }

  private:
    header_list m_items;
};

} // namespace flaxtiller::shell
