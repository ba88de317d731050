#include <flaxtiller/registration/live_placement.hpp>

namespace flaxtiller
{

void live_placement::configure(std::int64_t revision, const configuration& value,
                               const std::vector<registration>& registered)
{
    // Most configuration changes affect routes only, which leaves the placement as it is.
    const bool same_placement_input =
        !m_services.empty() && value.services == m_services && value.placement_rules == m_rules &&
        value.backend_servers == m_declared && value.evacuated_zones == m_evacuated_zones &&
        value.instances == m_current->instances;
    if (same_placement_input)
    {
        m_placer.set_revision(revision);
        m_is_current = false;
        return;
    }
    m_placer = placement_builder(revision, value);
    m_services = value.services;
    m_rules = value.placement_rules;
    m_evacuated_zones = value.evacuated_zones;
    m_declared = value.backend_servers;
    for (const auto& [name, server] : m_declared)
    {
        m_placer.put(server);
    }
    apply(registered);
    m_placer.share_with(*m_current);
}

void live_placement::apply(const std::vector<registration>& changes)
{
    m_is_current = false;
    for (const registration& change : changes)
    {
        apply_one(change);
    }
}

void live_placement::apply_one(const registration& change)
{
    const auto service = m_services.find(change.service);
    if (change.is_present() && service != m_services.end())
    {
        m_placer.put(to_backend_server(change, service->second));
        return;
    }
    const auto declared = m_declared.find(change.id);
    if (declared != m_declared.end())
    {
        m_placer.put(declared->second);
        return;
    }
    m_placer.remove(change.id);
}

std::shared_ptr<const placement> live_placement::current()
{
    if (m_is_current)
    {
        return m_current;
    }
    m_current = std::make_shared<const placement>(m_placer.current());
    m_is_current = true;
    return m_current;
}

} // namespace flaxtiller
