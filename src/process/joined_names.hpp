#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <type_traits>
#include <vector>

namespace flaxtiller::shell
{

/// @param names texts, or identifiers with a member `str`
/// @return the first few of @a names, separated by commas; limited to keep log lines short
template <typename Name>
std::string joined_names(const std::vector<Name>& names)
{
    constexpr std::size_t max_shown = 8;
    std::string text;
    for (std::size_t i = 0; i < std::min(names.size(), max_shown); ++i)
    {
        text += i == 0 ? "" : ",";
        if constexpr (std::is_same_v<Name, std::string>)
        {
            text += names[i];
        }
        else
        {
            text += names[i].str();
        }
    }
    return names.size() > max_shown ? text + ",..." : text;
}

} // namespace flaxtiller::shell
