#include "registration_distributor.hpp"

#include "process/log.hpp"
#include "process/system.hpp"

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// The longest interval at which replicas exchange received heartbeats.
constexpr duration max_exchange_interval = duration::from_ms(3000);
/// The same as a fraction of the time without a heartbeat after which a backend server counts as lost: a
/// leader that receives none itself must know of several before.
constexpr double exchange_silence_fraction = 0.25;
/// The delay between the start and the restoration of saved registrations. Replicas that start at the same
/// time are linked within this time, also between regions, and a replica that didn't restart has sent its
/// registrations.
constexpr duration restore_delay = duration::from_ms(150);
/// A restored backend server is marked as lost if no heartbeat arrives within this fraction of the time that
/// applies to other backend servers. The fraction amounts to three heartbeats.
constexpr double unconfirmed_silence_fraction = 0.3;
/// The interval at which replicas exchange received heartbeats while restored backend servers are
/// unconfirmed.
constexpr duration unconfirmed_exchange_interval = duration::from_ms(500);

} // namespace

registration_distributor::registration_distributor(peer_links& links, std::string self,
                                                   const std::string& path,
                                                   registration_file::saved_function on_saved,
                                                   duration silence, time_point now)
    : m_links(links), m_file(path, std::move(on_saved)), m_confirmer(links, m_file, std::move(self)),
      m_silence(silence),
      m_exchange_interval(std::min(max_exchange_interval, silence * exchange_silence_fraction)),
      m_started_at(now), m_log_line_budget(max_log_lines_per_s, max_log_lines_per_s, max_log_lines_per_s, now)
{
}

void registration_distributor::load(time_point now)
{
    std::vector<registration> gone;
    for (registration& item : m_file.load(unix_ms()))
    {
        std::vector<registration>& kept = item.state == registration_state::gone ? gone : m_saved;
        kept.push_back(std::move(item));
    }
    // Before any heartbeat or list of another process, which may lack the deregistrations. The others get
    // them with the list that each new link brings.
    (void)m_registry.restore(gone, now);
    (void)m_registry.take_changes();
    log(log_level::info, "deregistrations_restored", {{"items", gone.size()}});
}

void registration_distributor::restore(time_point now)
{
    const std::size_t count = m_registry.restore(std::exchange(m_saved, {}), now);
    log(log_level::info, "registrations_restored", {{"items", count}});
    m_exchange_at = now + std::min(unconfirmed_exchange_interval, m_exchange_interval);
    publish_changes(true, now);
    m_publisher.expedite_changes(now);
    send_due(now);
}

/// Handles the complete list of a replica that didn't restart: discards the saved registrations, and marks
/// restored backend servers that are missing in the list as lost.
void registration_distributor::apply_settled_list(const registration_update& update, time_point now)
{
    m_saved.clear();
    if (m_registry.mark_unconfirmed_lost(update.items))
    {
        publish_changes(true, now);
    }
}

void registration_distributor::on_heartbeat(const registration& received, time_point now)
{
    if (m_registry.on_heartbeat(received, now))
    {
        publish_changes(true, now);
    }
}

void registration_distributor::on_leave(const backend_server_name& id, std::int64_t born_ms,
                                        const quorum::member_set& members,
                                        deregistration_confirmer::confirmation done, time_point now)
{
    if (m_registry.on_leave(id, born_ms, now))
    {
        publish_changes(true, now);
    }
    m_confirmer.begin(*m_registry.find(id), members, std::move(done), now);
}

void registration_distributor::on_saved(time_point now)
{
    m_confirmer.on_saved(now);
}

/// Another replica that reports a backend server as present, which deregistered, has missed that.
void registration_distributor::correct_sender(const std::string& from,
                                              const std::vector<registration>& received)
{
    const std::vector<registration> missed = m_registry.gone_among(received);
    if (!missed.empty())
    {
        log(log_level::info, "deregistrations_resent", {{"to", from}, {"items", missed.size()}});
        m_links.send(from, registration_update{false, missed, false, std::nullopt});
    }
}

void registration_distributor::on_update(const std::string& from, const registration_update& update,
                                         time_point now)
{
    bool changed = false;
    for (const registration& received : update.items)
    {
        changed = m_registry.merge(received, now) || changed;
    }
    if (update.settled)
    {
        apply_settled_list(update, now);
    }
    if (changed)
    {
        log(log_level::debug, "registrations_merged", {{"from", from}, {"items", update.items.size()}});
        publish_changes(false, now);
    }
    correct_sender(from, update.items);
    if (update.confirm)
    {
        m_confirmer.on_request(from, *update.confirm, now);
    }
}

void registration_distributor::on_heartbeat_receipts(const std::string& from,
                                                     const registration_heard& receipts, time_point now)
{
    m_registry.on_heartbeat_receipts(receipts.items, now);
    m_confirmer.on_saved_elsewhere(from, receipts.saved, now);
}

bool registration_distributor::is_settled(time_point now) const
{
    return now - m_started_at > m_silence;
}

void registration_distributor::on_digest(const std::string& from, const registration_digest& received,
                                         time_point now)
{
    if (m_publisher.on_digest(from, received.digest, m_registry.digest(), now))
    {
        log(log_level::info, "registrations_resent", {{"to", from}, {"items", m_registry.size()}});
    }
}

void registration_distributor::on_reachable(const std::string& peer, time_point now)
{
    if (!m_registry.empty())
    {
        m_publisher.request_full_list(peer);
        send_due(now);
    }
}

void registration_distributor::on_lost(const std::string& peer, time_point now)
{
    m_publisher.on_lost(peer, now);
    m_confirmer.on_lost(peer, now);
}

void registration_distributor::publish_changes(bool received_here, time_point now)
{
    const std::vector<registration> changes = m_registry.take_changes();
    m_file.append(changes, unix_ms());
    log_changes(changes, now);
    m_publisher.on_changes(changes, received_here, m_registry.digest(), now);
    send_due(now);
}

void registration_distributor::log_changes(const std::vector<registration>& changes, time_point now)
{
    for (const registration& item : changes)
    {
        if (!m_log_line_budget.take(now))
        {
            ++m_unlogged_changes;
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

void registration_distributor::send_due(time_point now)
{
    if (!m_publisher.is_due(now))
    {
        return;
    }
    for (registration_publisher::outgoing& message :
         m_publisher.take(m_links.reachable(), m_registry.size(), now))
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

void registration_distributor::set_replicas(std::set<std::string> others)
{
    m_publisher.set_replicas(std::move(others));
}

void registration_distributor::tick(bool leads, time_point now)
{
    if (!m_saved.empty() && now - m_started_at >= restore_delay)
    {
        restore(now);
    }
    m_confirmer.tick(now);
    if (m_registry.mark_unconfirmed_lost(m_silence * unconfirmed_silence_fraction, now))
    {
        publish_changes(true, now);
    }
    send_due(now);
    if (now < m_exchange_at)
    {
        return;
    }
    if (const std::size_t unlogged = std::exchange(m_unlogged_changes, 0); unlogged > 0)
    {
        log(log_level::info, "registrations", {{"items", unlogged}, {"known", m_registry.size()}});
    }
    m_exchange_at =
        now + (m_registry.has_unconfirmed() ? std::min(unconfirmed_exchange_interval, m_exchange_interval)
                                            : m_exchange_interval);
    const registration_heard receipts{m_registry.take_heartbeat_receipts()};
    const registration_digest known{m_registry.digest()};
    const std::vector<std::string> others(m_publisher.replicas().begin(), m_publisher.replicas().end());
    m_links.send(others, known);
    if (!receipts.items.empty())
    {
        m_links.send(others, receipts);
    }
    if (leads && is_settled(now) && m_registry.expire(m_silence, now))
    {
        publish_changes(true, now);
    }
    // On every replica: the others neither learn what the leader forgets, nor would they forget it with a
    // leader that changes.
    m_file.forget(m_registry.forget(m_silence, now));
}

} // namespace flaxtiller::shell
