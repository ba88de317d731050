#include <flaxtiller/core/findings.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace flaxtiller
{

namespace
{

/// @return whether the byte is not the first one of a character in UTF-8
bool continues_character(char byte)
{
    constexpr unsigned kind_bits = 0xC0U;
    constexpr unsigned continuation = 0x80U;
    return (static_cast<unsigned char>(byte) & kind_bits) == continuation;
}

/// @return the text, or its beginning in whole characters and dots if it is too long
std::string cut(std::string text)
{
    if (text.size() <= findings::max_text_bytes)
    {
        return text;
    }
    constexpr const char* dots = "...";
    std::size_t end = findings::max_text_bytes - std::char_traits<char>::length(dots);
    while (end > 0 && continues_character(text[end]))
    {
        --end;
    }
    // A copy, because the long text would keep its memory.
    return text.substr(0, end) + dots;
}

} // namespace

void findings::add(severity level, errc code, std::string place, std::string message)
{
    std::size_t& listed = level == severity::error ? m_errors : m_warnings;
    if (listed > max_listed)
    {
        return;
    }
    if (listed == max_listed)
    {
        m_items.push_back({level, errc::findings_omitted, "", "further findings of this severity exist"});
    }
    else
    {
        m_items.push_back({level, code, cut(std::move(place)), cut(std::move(message))});
    }
    ++listed;
}

void findings::error(errc code, std::string place, std::string message)
{
    add(severity::error, code, std::move(place), std::move(message));
}

void findings::warning(errc code, std::string place, std::string message)
{
    add(severity::warning, code, std::move(place), std::move(message));
}

void findings::append(const findings& other)
{
    for (const finding& item : other.m_items)
    {
        add(item.level, item.code, item.place, item.message);
    }
}

bool findings::has_errors() const noexcept
{
    return m_errors > 0;
}

bool findings::is_full() const noexcept
{
    return m_errors > max_listed;
}

const std::vector<finding>& findings::items() const noexcept
{
    return m_items;
}

std::string findings::to_text() const
{
    std::string text;
    for (const finding& item : m_items)
    {
        const char* level = item.level == severity::error ? "error" : "warning";
        text += fmt::format("{} {} at {}: {}: {}\n", level, static_cast<int>(item.code), item.place,
                            make_error_code(item.code).message(), item.message);
    }
    return text;
}

void to_json(nlohmann::json& j, const findings& value)
{
    j = nlohmann::json::array();
    for (const finding& item : value.items())
    {
        j.push_back({{"severity", item.level == severity::error ? "error" : "warning"},
                     {"code", static_cast<int>(item.code)},
                     {"place", item.place},
                     {"message", item.message}});
    }
}

void from_json(const nlohmann::json& j, findings& value)
{
    value = {};
    for (const auto& item : j)
    {
        const auto code = static_cast<errc>(item.at("code").get<int>());
        if (item.at("severity") == "error")
        {
            value.error(code, item.at("place"), item.at("message"));
        }
        else
        {
            value.warning(code, item.at("place"), item.at("message"));
        }
    }
}

} // namespace flaxtiller
