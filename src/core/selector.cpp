#include <flaxtiller/core/selector.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flaxtiller
{

selector::selector(std::map<std::string, std::vector<std::string>> requirements)
    : m_requirements(std::move(requirements))
{
    for (auto& [key, accepted] : m_requirements)
    {
        std::sort(accepted.begin(), accepted.end());
    }
}

bool selector::matches(const labels& candidate) const
{
    return std::all_of(m_requirements.begin(), m_requirements.end(),
                       [&](const auto& requirement)
                       {
                           const auto& [key, accepted] = requirement;
                           const auto found = candidate.find(key);
                           if (found == candidate.end())
                           {
                               return accepted.empty();
                           }
                           return std::binary_search(accepted.begin(), accepted.end(), found->second);
                       });
}

const std::map<std::string, std::vector<std::string>>& selector::requirements() const noexcept
{
    return m_requirements;
}

void to_json(nlohmann::json& j, const selector& value)
{
    j = nlohmann::json::object();
    for (const auto& [key, accepted] : value.requirements())
    {
        if (accepted.empty())
        {
            j[key] = nullptr;
        }
        else if (accepted.size() == 1)
        {
            j[key] = accepted.front();
        }
        else
        {
            j[key] = accepted;
        }
    }
}

void from_json(const nlohmann::json& j, selector& value)
{
    std::map<std::string, std::vector<std::string>> requirements;
    for (const auto& [key, accepted] : j.items())
    {
        auto& values = requirements[key];
        if (accepted.is_array())
        {
            values = accepted.get<std::vector<std::string>>();
        }
        else if (!accepted.is_null())
        {
            values.push_back(accepted.get<std::string>());
        }
    }
    value = selector(std::move(requirements));
}

} // namespace flaxtiller
