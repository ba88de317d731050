#pragma once

#include <flaxtiller/routing/route.hpp>

#include <map>
#include <string>

namespace flaxtiller
{

/// @brief Divides a route's requests among its targets by weight, as evenly as whole requests allow
/// (smooth weighted round robin). Deterministic.
class target_choice
{
  public:
    /// @return the service for the next request; the route must have a target with a weight above zero
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
