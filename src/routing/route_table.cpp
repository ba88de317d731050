#include <flaxtiller/routing/route_table.hpp>

#include <flaxtiller/routing/route_host.hpp>

#include <utility>

namespace flaxtiller
{

route_table::route_table(const std::map<std::string, route>& routes)
{
    for (const auto& [name, item] : routes)
    {
        auto shared = std::make_shared<const route>(item);
        if (shared->fans_out())
        {
            m_fan_outs.push_back(shared);
        }
        const bool is_shortest = m_shortest_objective <= duration{} || item.objective < m_shortest_objective;
        if (item.objective > duration{} && is_shortest)
        {
            m_shortest_objective = item.objective;
        }
        m_by_name.emplace(name, shared);
        m_hosts[comparable_host(item.host)].emplace(item.path_prefix, std::move(shared));
    }
}

const std::vector<std::shared_ptr<const route>>& route_table::fan_outs() const noexcept
{
    return m_fan_outs;
}

std::shared_ptr<const route> route_table::find_by_name(const std::string& name) const
{
    const auto found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : found->second;
}

std::shared_ptr<const route> route_table::find(std::string_view host, std::string_view target) const
{
    const std::string stated = comparable_host(host);
    const std::string_view path = target.substr(0, target.find('?'));
    std::shared_ptr<const route> found = find_at(stated, path);
    const std::string_view name = without_port(stated);
    return found || name.size() == stated.size() ? found : find_at(std::string(name), path);
}

std::shared_ptr<const route> route_table::find_at(const std::string& host, std::string_view path) const
{
    const auto prefixes = m_hosts.find(host);
    if (prefixes == m_hosts.end())
    {
        return nullptr;
    }
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/'))
    {
        const auto found = prefixes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != prefixes->second.end())
        {
            return found->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

} // namespace flaxtiller
