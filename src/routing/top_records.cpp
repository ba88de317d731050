#include <flaxtiller/routing/top_records.hpp>

#include <algorithm>
#include <functional>

namespace flaxtiller
{

std::string top_records(const std::vector<std::string_view>& bodies, std::size_t most)
{
    std::vector<std::string_view> records;
    for (const std::string_view body : bodies)
    {
        for (std::size_t at = 0; at + record_bytes <= body.size(); at += record_bytes)
        {
            records.push_back(body.substr(at, record_bytes));
        }
    }
    const std::size_t kept = std::min(most, records.size());
    const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * record_bytes);
    for (std::size_t i = 0; i < kept; ++i)
    {
        merged.append(records[i]);
    }
    return merged;
}

} // namespace flaxtiller
