#include <flaxtiller/core/region_set.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace flaxtiller
{

region_set region_set::intersection(const region_set& other) const
{
    if (is_any())
    {
        return other;
    }
    if (other.is_any())
    {
        return *this;
    }
    std::set<std::string> names;
    std::set_intersection(m_names->begin(), m_names->end(), other.m_names->begin(), other.m_names->end(),
                          std::inserter(names, names.end()));
    return region_set(std::move(names));
}

void to_json(nlohmann::json& j, const region_set& value)
{
    j = value.is_any() ? nlohmann::json() : nlohmann::json(*value.names());
}

void from_json(const nlohmann::json& j, region_set& value)
{
    value = j.is_null() ? region_set() : region_set(j.get<std::set<std::string>>());
}

} // namespace flaxtiller
