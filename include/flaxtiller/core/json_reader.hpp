#pragma once

#include <flaxtiller/core/findings.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <utility>

namespace flaxtiller
{

/// @brief Reads the values of one JSON object and reports unknown keys, missing keys and values of a wrong
/// type, with their location.
///
/// The caller must call @ref finish last, which reports the keys that were not read.
class json_reader
{
  public:
    /// @param object the object to read
    /// @param place the JSON pointer of @a object, "" for the root
    /// @param found the findings to which the reader adds
    json_reader(const nlohmann::json& object, std::string place, findings& found)
        : m_object(object), m_place(std::move(place)), m_found(found)
    {
        if (!m_object.is_object())
        {
            m_found.error(errc::wrong_type, m_place, "must be an object");
        }
    }

    /// @brief Reads a string. If the key is missing, @a into is unchanged.
    void text(const char* key, std::string& into)
    {
        read(
            key, into,
            [](const nlohmann::json& j)
            {
                return j.is_string();
            },
            "must be a string");
    }

    /// @brief Reads a string of at most @a max_bytes. If the key is missing, @a into is unchanged.
    void text(const char* key, std::string& into, std::size_t max_bytes)
    {
        std::string given = into;
        text(key, given);
        if (given.size() > max_bytes)
        {
            m_found.error(errc::text_too_long, at(key),
                          "must have at most " + std::to_string(max_bytes) + " bytes");
            return;
        }
        into = std::move(given);
    }

    /// @brief Reads the key `name`, which is required and must not be empty.
    template <typename Name>
    void name(Name& into)
    {
        constexpr const char* key = "name";
        std::string given;
        require(key);
        text(key, given);
        if (given.empty())
        {
            m_found.error(errc::out_of_range, at(key), "must not be empty");
        }
        into = Name(std::move(given));
    }

    /// @brief Reads a boolean. If the key is missing, @a into is unchanged.
    void flag(const char* key, bool& into)
    {
        read(
            key, into,
            [](const nlohmann::json& j)
            {
                return j.is_boolean();
            },
            "must be true or false");
    }

    /// @brief Reads a number in the range from @a low to @a high. If the key is missing, @a into is
    /// unchanged.
    template <typename Number>
    void number(const char* key, Number& into, Number low, Number high)
    {
        const nlohmann::json* value = take(key);
        if (value == nullptr)
        {
            return;
        }
        const bool right_type = std::is_integral_v<Number> ? value->is_number_integer() : value->is_number();
        if (!right_type)
        {
            m_found.error(errc::wrong_type, at(key), "must be a number");
            return;
        }
        const auto as_double = value->template get<double>();
        if (as_double < static_cast<double>(low) || as_double > static_cast<double>(high))
        {
            m_found.error(errc::out_of_range, at(key),
                          "must lie between " + std::to_string(low) + " and " + std::to_string(high));
            return;
        }
        into = value->template get<Number>();
    }

    /// @brief Marks a key as read and returns its value, which the caller interprets.
    /// @return the value, or a null pointer if the key is missing
    const nlohmann::json* take(const char* key)
    {
        m_read.insert(key);
        if (!m_object.is_object())
        {
            return nullptr;
        }
        const auto found = m_object.find(key);
        return found == m_object.end() ? nullptr : &*found;
    }

    /// @brief Reads a list of strings.
    /// @return the list, or a null pointer if the key is missing or the value is not a list of strings
    const nlohmann::json* names(const char* key)
    {
        const nlohmann::json* list = take(key);
        if (list == nullptr)
        {
            return nullptr;
        }
        const bool all_strings = list->is_array() && std::all_of(list->begin(), list->end(),
                                                                 [](const nlohmann::json& item)
                                                                 {
                                                                     return item.is_string();
                                                                 });
        if (!all_strings)
        {
            m_found.error(errc::wrong_type, at(key), "must be a list of names");
            return nullptr;
        }
        return list;
    }

    /// @return whether the object has this key
    bool has(const char* key) const
    {
        return m_object.is_object() && m_object.contains(key);
    }

    /// @brief Reports an error if @a key is missing.
    void require(const char* key)
    {
        if (m_object.is_object() && !m_object.contains(key))
        {
            m_found.error(errc::missing_key, at(key), "must be given");
        }
    }

    /// @brief Reports an error for each key that was not read.
    void finish()
    {
        if (!m_object.is_object())
        {
            return;
        }
        for (const auto& [key, value] : m_object.items())
        {
            if (m_found.is_full())
            {
                return;
            }
            if (m_read.count(key) == 0)
            {
                m_found.error(errc::unknown_key, at(key), "isn't a key of this object");
            }
        }
    }

    /// @return the JSON pointer of @a key
    std::string at(const std::string& key) const
    {
        return m_place + "/" + key;
    }

    /// @return the findings to which the reader adds
    findings& found() noexcept
    {
        return m_found;
    }

  private:
    template <typename Value, typename Check>
    void read(const char* key, Value& into, Check has_type, const char* message)
    {
        const nlohmann::json* value = take(key);
        if (value == nullptr)
        {
            return;
        }
        if (!has_type(*value))
        {
            m_found.error(errc::wrong_type, at(key), message);
            return;
        }
        into = value->template get<Value>();
    }

    const nlohmann::json& m_object;
    std::string m_place;
    findings& m_found;
    std::set<std::string> m_read;
};

} // namespace flaxtiller
