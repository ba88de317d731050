#include <flaxtiller/core/findings.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

void findings::error(errc code, std::string place, std::string message)
{
    m_items.push_back({severity::error, code, std::move(place), std::move(message)});
}

void findings::warning(errc code, std::string place, std::string message)
{
    m_items.push_back({severity::warning, code, std::move(place), std::move(message)});
}

void findings::append(const findings& other)
{
    m_items.insert(m_items.end(), other.m_items.begin(), other.m_items.end());
}

bool findings::has_errors() const noexcept
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [](const finding& item)
                       {
                           return item.level == severity::error;
                       });
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
