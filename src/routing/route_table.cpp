#include <flaxtiller/routing/route_table.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace flaxtiller
{

namespace
{

std::string host_key(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.back() != ']';
    std::string key(host.substr(0, has_port ? colon : host.size()));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c)
                   {
                       return static_cast<char>(std::tolower(c));
                   });
    return key;
}

} // namespace

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
        m_hosts[host_key(item.host)].emplace(item.path_prefix, std::move(shared));
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
    const auto prefixes = m_hosts.find(host_key(host));
    if (prefixes == m_hosts.end())
    {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
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
