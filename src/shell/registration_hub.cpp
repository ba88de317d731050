#include "registration_hub.hpp"

#include "log.hpp"

namespace flaxtiller::shell
{

namespace
{

/// How often replicas tell one another whom they heard: well under the silence that loses a backend server.
constexpr duration tell_every = duration::from_ms(1000);
/// A digest that differs for this long isn't just a change on its way.
constexpr duration differs_bound = duration::from_ms(1500);

} // namespace

void registration_hub::on_heartbeat(const registration& said, time_point now)
{
    if (m_registry.on_heartbeat(said, now))
    {
        spread();
    }
}

void registration_hub::on_leave(const backend_server_name& id, time_point now)
{
    if (m_registry.on_leave(id, now))
    {
        spread();
    }
}

void registration_hub::on_update(const std::string& from, const registration_update& update, time_point now)
{
    bool changed = false;
    for (const registration& said : update.items)
    {
        changed = m_registry.merge(said, now) || changed;
    }
    if (changed)
    {
        log(log_level::debug, "registrations_merged", {{"from", from}, {"items", update.items.size()}});
        spread();
    }
}

void registration_hub::on_heard(const registration_heard& heard, time_point now)
{
    m_registry.on_heard(heard.items, now);
}

bool registration_hub::is_settled(time_point now) const
{
    return now - m_started_at > m_silence;
}

void registration_hub::on_digest(const std::string& from, const registration_digest& said, time_point now)
{
    if (said.digest == m_registry.digest())
    {
        m_differs_since.erase(from);
        return;
    }
    const auto since = m_differs_since.emplace(from, now).first;
    if (now - since->second > differs_bound)
    {
        log(log_level::info, "registrations_resent",
            {{"to", from}, {"differed_ms", (now - since->second).ms()}});
        m_differs_since.erase(since);
        send_all(from, now);
    }
}

void registration_hub::on_reachable(const std::string& peer)
{
    if (!m_registry.empty())
    {
        m_links.send(peer, registration_update{false, m_registry.all()});
    }
}

void registration_hub::send_all(const std::string& to, time_point now)
{
    m_links.send(to, registration_update{is_settled(now), m_registry.all()});
}

void registration_hub::spread()
{
    const registration_update update{false, m_registry.take_changes()};
    for (const registration& item : update.items)
    {
        log(log_level::info, "registration",
            {{"backend_server", item.id.str()},
             {"service", item.service.str()},
             {"address", item.address},
             {"state", nlohmann::json(item.state).get<std::string>()},
             {"sequence", item.sequence}});
    }
    for (const std::string& peer : m_links.reachable())
    {
        m_links.send(peer, update);
    }
}

void registration_hub::tick(const std::set<std::string>& replicas, bool leads, time_point now)
{
    if (now < m_tell_at)
    {
        return;
    }
    m_tell_at = now + tell_every;
    const registration_heard heard{m_registry.take_heard()};
    for (const std::string& replica : replicas)
    {
        if (!heard.items.empty())
        {
            m_links.send(replica, heard);
        }
    }
    if (leads && is_settled(now) && m_registry.expire(m_silence, now))
    {
        spread();
    }
}

} // namespace flaxtiller::shell
