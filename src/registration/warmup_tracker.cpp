#include <flaxtiller/registration/warmup_tracker.hpp>

namespace flaxtiller
{

void warmup_tracker::mark_cold(const backend_server_name& server, const cold_server& cold)
{
    m_cold.insert_or_assign(server, cold);
    m_is_current = false;
}

void warmup_tracker::unmark(const backend_server_name& server)
{
    m_is_current = m_cold.erase(server) == 0 && m_is_current;
}

void warmup_tracker::on_registration(const registration& report, time_point now)
{
    if (report.is_present() && report.warmup_left > duration{})
    {
        mark_cold(report.id, {report.service, now + report.warmup_left});
        return;
    }
    unmark(report.id);
}

void warmup_tracker::on_zones_restored(const std::set<std::string>& zones,
                                       const std::vector<registration>& registered,
                                       const std::map<service_name, service>& services, time_point now)
{
    for (const registration& item : registered)
    {
        const auto declared = services.find(item.service);
        if (zones.count(item.availability_zone) == 0 || declared == services.end())
        {
            continue;
        }
        const time_point until = now + declared->second.warmup;
        const auto known = m_cold.find(item.id);
        if (until > now && (known == m_cold.end() || known->second.until < until))
        {
            mark_cold(item.id, {item.service, until});
        }
    }
}

const shared_value<cold_servers>& warmup_tracker::current(time_point now)
{
    const auto expired = std::erase_if(m_cold,
                                       [&](const auto& item)
                                       {
                                           return item.second.until <= now;
                                       });
    if (!m_is_current || expired > 0)
    {
        m_current = m_cold;
        m_is_current = true;
    }
    return m_current;
}

} // namespace flaxtiller
