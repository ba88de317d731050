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

/// @brief Finds the route of a request: among the routes of its host, the one with the longest path prefix
/// that matches.
///
/// A route whose host states a port serves requests that state this port, and no others. A route whose host
/// states none serves requests with any port or none, except those that a route with their port fits.
class route_table
{
  public:
    route_table() = default;

    /// @param routes the routes by name; of several with the same host and prefix, the first one is in force
    explicit route_table(const std::map<std::string, route>& routes);

    /// @param host the Host header field, see @ref comparable_host
    /// @param target the request target: a path with an optional query
    /// @return the route, or null if none matches
    /// @complexity O(slashes in @a target)
    std::shared_ptr<const route> find(std::string_view host, std::string_view target) const;

    /// @return the route with this name, or null
    std::shared_ptr<const route> find_by_name(const std::string& name) const;

    /// @return the routes that fan out, see @ref route::fans_out
    const std::vector<std::shared_ptr<const route>>& fan_outs() const noexcept;

    /// @return the shortest objective of all routes that have one; zero if none has
    duration shortest_objective() const noexcept
    {
        return m_shortest_objective;
    }

  private:
    using by_prefix = std::unordered_map<std::string, std::shared_ptr<const route>>;

    /// @param host a host as returned by @ref comparable_host
    /// @return the route of exactly this host
    std::shared_ptr<const route> find_at(const std::string& host, std::string_view path) const;

    std::unordered_map<std::string, by_prefix> m_hosts;
    std::unordered_map<std::string, std::shared_ptr<const route>> m_by_name;
    std::vector<std::shared_ptr<const route>> m_fan_outs;
    duration m_shortest_objective{};
};

} // namespace flaxtiller
