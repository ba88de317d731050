#include "registration_hub.hpp"

#include "log.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// How often replicas tell one another whom they heard: well under the silence that loses a backend server.
constexpr duration tell_every = duration::from_ms(3000);
/// Replicas that start together are linked within this, also between regions; one that didn't restart has
/// told what it knows by then.
constexpr duration restore_after = duration::from_ms(150);
/// What was restored is called lost when it wasn't heard for this share of the silence that loses others:
/// three heartbeats.
constexpr double unconfirmed_share = 0.3;
/// Meanwhile replicas tell one another this often whom they heard.
constexpr duration tell_unconfirmed_every = duration::from_ms(500);

} // namespace

void registration_hub::load()
{
    m_before = m_file.load();
}

void registration_hub::restore(time_point now)
{
    const std::size_t count = m_registry.restore(std::exchange(m_before, {}), now);
    log(log_level::info, "registrations_restored", {{"items", count}});
    m_tell_at = now + tell_unconfirmed_every;
    note_changes(true, now);
    m_spread.expedite_changes(now);
    send_due(now);
}

/// A replica that didn't restart knows which of the restored ones still live.
void registration_hub::take_settled(const registration_update& update, time_point now)
{
    m_before.clear();
    if (m_registry.mark_unconfirmed_lost(update.items))
    {
        note_changes(true, now);
    }
}

void registration_hub::on_heartbeat(const registration& said, time_point now)
{
    if (m_registry.on_heartbeat(said, now))
    {
        note_changes(true, now);
    }
}

void registration_hub::on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now)
{
    if (m_registry.on_leave(id, born_ms, now))
    {
        note_changes(true, now);
    }
}

void registration_hub::on_update(const std::string& from, const registration_update& update, time_point now)
{
    bool changed = false;
    for (const registration& said : update.items)
    {
        changed = m_registry.merge(said, now) || changed;
    }
    if (update.settled)
    {
        take_settled(update, now);
    }
    if (changed)
    {
        log(log_level::debug, "registrations_merged", {{"from", from}, {"items", update.items.size()}});
        note_changes(false, now);
    }
}

void registration_hub::on_heartbeat_receipts(const registration_heard& heard, time_point now)
{
    m_registry.on_heartbeat_receipts(heard.items, now);
}

bool registration_hub::is_settled(time_point now) const
{
    return now - m_started_at > m_silence;
}

void registration_hub::on_digest(const std::string& from, const registration_digest& said, time_point now)
{
    if (m_spread.on_digest(from, said.digest, m_registry.digest(), now))
    {
        log(log_level::info, "registrations_resent", {{"to", from}, {"items", m_registry.size()}});
    }
}

void registration_hub::on_reachable(const std::string& peer, time_point now)
{
    if (!m_registry.empty())
    {
        m_spread.request_full_list(peer);
        send_due(now);
    }
}

void registration_hub::on_lost(const std::string& peer)
{
    m_spread.on_lost(peer);
}

void registration_hub::note_changes(bool own, time_point now)
{
    const std::vector<registration> changes = m_registry.take_changes();
    m_file.append(changes);
    log_changes(changes, now);
    m_spread.on_changes(changes, own, m_registry.digest(), now);
    send_due(now);
}

void registration_hub::log_changes(const std::vector<registration>& changes, time_point now)
{
    for (const registration& item : changes)
    {
        if (!m_lines.take(now))
        {
            ++m_unsaid;
            continue;
        }
        log(log_level::info, "registration",
            {{"backend_server", item.id.str()},
             {"service", item.service.str()},
             {"address", item.address},
             {"state", nlohmann::json(item.state).get<std::string>()},
             {"sequence", item.sequence},
             {"born_ms", item.born_ms},
             {"warmup_ms", item.warmup_left.ms()}});
    }
}

void registration_hub::send_due(time_point now)
{
    if (!m_spread.is_due(now))
    {
        return;
    }
    for (registration_publisher::outgoing& message :
         m_spread.take(m_links.reachable(), m_registry.size(), now))
    {
        const bool settled = message.whole && is_settled(now);
        registration_update update{settled, std::move(message.changes), settled};
        if (message.whole)
        {
            update.items = m_registry.all(now);
        }
        m_links.send(message.to, update);
    }
}

void registration_hub::set_replicas(std::set<std::string> others)
{
    m_spread.set_replicas(std::move(others));
}

void registration_hub::tick(bool leads, time_point now)
{
    if (!m_before.empty() && now - m_started_at >= restore_after)
    {
        restore(now);
    }
    if (m_registry.mark_unconfirmed_lost(m_silence * unconfirmed_share, now))
    {
        note_changes(true, now);
    }
    send_due(now);
    if (now < m_tell_at)
    {
        return;
    }
    if (const std::size_t unsaid = std::exchange(m_unsaid, 0); unsaid > 0)
    {
        log(log_level::info, "registrations", {{"items", unsaid}, {"known", m_registry.size()}});
    }
    m_tell_at = now + (m_registry.has_unconfirmed() ? tell_unconfirmed_every : tell_every);
    const registration_heard heard{m_registry.take_heartbeat_receipts()};
    const registration_digest known{m_registry.digest()};
    const std::vector<std::string> others(m_spread.replicas().begin(), m_spread.replicas().end());
    m_links.send(others, known);
    if (!heard.items.empty())
    {
        m_links.send(others, heard);
    }
    if (leads && is_settled(now) && m_registry.expire(m_silence, now))
    {
        note_changes(true, now);
    }
}

} // namespace flaxtiller::shell
