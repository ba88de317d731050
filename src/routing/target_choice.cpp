#include <flaxtiller/routing/target_choice.hpp>

#include <algorithm>

namespace flaxtiller
{

service_name target_choice::next(const route& matched_route)
{
    turn& here = m_turns[matched_route.name];
    if (!(here.targets == matched_route.targets))
    {
        here.targets = matched_route.targets;
        here.credit.assign(matched_route.targets.size(), 0);
    }
    std::int64_t total = 0;
    for (std::size_t i = 0; i < here.targets.size(); ++i)
    {
        here.credit[i] += here.targets[i].weight;
        total += here.targets[i].weight;
    }
    const auto richest = std::max_element(here.credit.begin(), here.credit.end());
    *richest -= total;
    return here.targets[static_cast<std::size_t>(richest - here.credit.begin())].service;
}

} // namespace flaxtiller
