#pragma once

#include <flaxtiller/routing/route.hpp>

#include <map>
#include <string>

namespace flaxtiller
{

/// @brief Distributes each route's requests over its targets in proportion to their weights, by smooth
/// weighted round robin. Deterministic.
class target_choice
{
  public:
    /// @return the service for the route's next request; at least one of its targets must have a positive
    /// weight
    service_name next(const route& matched_route);

  private:
    struct turn
    {
        std::vector<weighted_service> targets;
        std::vector<std::int64_t> credit;
    };

    std::map<std::string, turn> m_turns;
};

} // namespace flaxtiller
