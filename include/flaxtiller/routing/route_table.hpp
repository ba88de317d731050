#pragma once

#include <flaxtiller/routing/route.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flaxtiller
{

/// @brief Finds the route of a request: that of its host whose prefix begins the path and is longest.
class route_table
{
  public:
    route_table() = default;

    /// @param routes by name; no two share host and prefix
    explicit route_table(const std::map<std::string, route>& routes);

    /// @param host as the caller sent it; a port and the case don't count
    /// @param target the path, perhaps with a query
    /// @return the route, or nothing
    /// @complexity O(slashes in @a target)
    std::shared_ptr<const route> find(std::string_view host, std::string_view target) const;

    /// @return the routes whose requests go to all of several services
    const std::vector<std::shared_ptr<const route>>& fan_outs() const noexcept;

  private:
    using by_prefix = std::unordered_map<std::string, std::shared_ptr<const route>>;

    std::unordered_map<std::string, by_prefix> m_hosts;
    std::vector<std::shared_ptr<const route>> m_fan_outs;
};

} // namespace flaxtiller
