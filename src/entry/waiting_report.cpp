#include "waiting_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace flaxtiller::shell
{

nlohmann::json waiting_report(const dispatch::waiting_counts& counts, std::size_t most)
{
    std::vector<std::pair<std::pair<int, team_name>, dispatch::waiting_count>> sorted(counts.begin(),
                                                                                      counts.end());
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto& a, const auto& b)
                     {
                         return a.second.on_time + a.second.late > b.second.on_time + b.second.late;
                     });
    nlohmann::json largest = nlohmann::json::array();
    dispatch::waiting_count others;
    for (std::size_t i = 0; i < sorted.size(); ++i)
    {
        const auto& [pair, count] = sorted[i];
        if (i < most)
        {
            largest.push_back({{"priority", pair.first},
                               {"team", pair.second.str()},
                               {"on_time", count.on_time},
                               {"late", count.late}});
            continue;
        }
        others.on_time += count.on_time;
        others.late += count.late;
    }
    return {{"largest", std::move(largest)},
            {"others", {{"on_time", others.on_time}, {"late", others.late}}}};
}

} // namespace flaxtiller::shell
