#include <flaxtiller/core/bounded_document.hpp>

#include <flaxtiller/core/error.hpp>

#include <nlohmann/json.hpp>

namespace flaxtiller
{

namespace
{

using nlohmann::json;

/// @brief Adds up the cost of a document while its text is read, and ends the reading at the first limit.
class bounds_check final : public nlohmann::json_sax<json>
{
  public:
    bounds_check(std::size_t text_bytes, const document_bounds& bounds)
        : m_bounds(bounds), m_bytes(text_bytes * bounds.cost.text_byte)
    {
    }

    bool is_within_memory()
    {
        if (m_bytes > m_bounds.memory_bytes)
        {
            m_error = errc::document_too_large;
        }
        return m_error == errc::ok;
    }

    /// @return the limit that ended the reading, or that the text isn't well-formed
    errc error() const noexcept
    {
        return m_error;
    }

    bool null() override
    {
        return add_value();
    }

    bool boolean(bool /*value*/) override
    {
        return add_value();
    }

    bool number_integer(number_integer_t /*value*/) override
    {
        return add_value();
    }

    bool number_unsigned(number_unsigned_t /*value*/) override
    {
        return add_value();
    }

    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override
    {
        return add_value();
    }

    bool string(string_t& value) override
    {
        return is_short(value) && add_value();
    }

    bool binary(binary_t& /*value*/) override
    {
        return add_value();
    }

    bool key(string_t& value) override
    {
        if (!is_short(value))
        {
            return false;
        }
        m_bytes += m_bounds.cost.value;
        m_follows_item_key = m_bounds.cost.item > 0 && value == m_bounds.cost.item_key;
        return is_within_memory();
    }

    bool start_object(std::size_t /*elements*/) override
    {
        return enter();
    }

    bool start_array(std::size_t /*elements*/) override
    {
        const bool holds_items = m_follows_item_key;
        const bool is_allowed = enter();
        if (holds_items)
        {
            m_item_depth = m_depth;
        }
        return is_allowed;
    }

    bool end_object() override
    {
        return leave();
    }

    bool end_array() override
    {
        return leave();
    }

    bool parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                     const json::exception& /*what*/) override
    {
        m_error = errc::document_malformed;
        return false;
    }

  private:
    bool is_short(const string_t& text)
    {
        if (text.size() > m_bounds.text_bytes)
        {
            m_error = errc::text_too_long;
        }
        return m_error == errc::ok;
    }

    bool add_value()
    {
        m_bytes += m_bounds.cost.value + (m_depth > 0 && m_depth == m_item_depth ? m_bounds.cost.item : 0);
        m_follows_item_key = false;
        return is_within_memory();
    }

    bool enter()
    {
        m_bytes += m_bounds.cost.container;
        const bool fits = add_value();
        if (fits && ++m_depth > m_bounds.depth)
        {
            m_error = errc::document_too_deep;
        }
        return m_error == errc::ok;
    }

    bool leave()
    {
        m_item_depth = m_depth == m_item_depth ? 0 : m_item_depth;
        --m_depth;
        return true;
    }

    const document_bounds& m_bounds;
    std::size_t m_bytes;
    std::size_t m_depth = 0;
    /// The depth of the list whose items are counted; 0 outside of such lists.
    std::size_t m_item_depth = 0;
    bool m_follows_item_key = false;
    errc m_error = errc::ok;
};

} // namespace

std::error_code check_document(const std::string& text, const document_bounds& bounds)
{
    bounds_check check(text.size(), bounds);
    if (check.is_within_memory())
    {
        json::sax_parse(text, &check);
    }
    return check.error() == errc::ok ? std::error_code{} : make_error_code(check.error());
}

json parse_document(const std::string& text, const document_bounds& bounds, std::error_code& failed)
{
    failed = check_document(text, bounds);
    return failed ? json(json::value_t::discarded) : json::parse(text, nullptr, false);
}

} // namespace flaxtiller
