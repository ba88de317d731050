#include <flaxtiller/registration/replicated_registry.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

replicated_registry::replicated_registry(duration silence, time_point now, digest_timing timing)
    : m_silence(silence),
      m_exchange_interval(std::min(max_exchange_interval, silence * exchange_silence_fraction)),
      m_started_at(now), m_publisher(timing)
{
}

std::size_t replicated_registry::load(std::vector<registration> saved, time_point now)
{
    std::vector<registration> gone;
    for (registration& item : saved)
    {
        std::vector<registration>& kept = item.state == registration_state::gone ? gone : m_saved;
        kept.push_back(std::move(item));
    }
    // Before any heartbeat or list of another process, which may lack the deregistrations. The others get
    // them with the list that each new link brings.
    (void)m_registry.restore(gone, now);
    (void)m_registry.take_changes();
    return gone.size();
}

void replicated_registry::set_replicas(std::set<std::string> others)
{
    m_publisher.set_replicas(std::move(others));
}

void replicated_registry::restore(time_point now)
{
    m_restored_count = m_registry.restore(std::exchange(m_saved, {}), now);
    m_exchange_at = now + exchange_interval();
    publish_changes(true, now);
    m_publisher.expedite_changes(now);
    send_due(now);
}

void replicated_registry::on_heartbeat(const registration& received, time_point now)
{
    if (m_registry.on_heartbeat(received, now))
    {
        publish_changes(true, now);
    }
}

void replicated_registry::on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now)
{
    if (m_registry.on_leave(id, born_ms, now))
    {
        publish_changes(true, now);
    }
}

replicated_registry::update_outcome
replicated_registry::on_update(const std::string& from, const registration_update& update, time_point now)
{
    bool changed = false;
    for (const registration& received : update.items)
    {
        if (m_registry.merge(received, now))
        {
            changed = true;
            remember_unavailable(from, received, now);
        }
    }
    if (update.settled)
    {
        // The sender didn't restart, so that its registrations are better than the saved ones.
        m_saved.clear();
        if (m_registry.mark_unconfirmed_lost(update.items))
        {
            publish_changes(true, now);
        }
    }
    if (changed)
    {
        publish_changes(false, now);
    }
    return {changed, send_items(from, m_registry.missed_among(update.items, now))};
}

std::size_t replicated_registry::send_items(const std::string& peer, std::vector<registration> items)
{
    const std::size_t count = items.size();
    if (count > 0)
    {
        m_messages.push_back({{peer}, registration_update{false, std::move(items), false, std::nullopt}});
    }
    return count;
}

std::size_t replicated_registry::on_heartbeat_receipts(const std::string& from,
                                                       const std::vector<heartbeat_receipt>& receipts,
                                                       time_point now)
{
    // On an outdated registration, the sender of the receipts replies with its own: see on_update.
    return send_items(from, m_registry.on_heartbeat_receipts(receipts, now));
}

bool replicated_registry::on_digest(const std::string& from, std::uint64_t digest, time_point now)
{
    return m_publisher.on_digest(from, digest, m_registry.digest(), now);
}

void replicated_registry::on_reachable(const std::string& peer, bool is_replica, time_point now)
{
    m_reachable.insert(peer);
    if (is_replica && !m_registry.empty())
    {
        m_publisher.request_full_list(peer);
        send_due(now);
    }
}

std::size_t replicated_registry::on_lost(const std::string& peer, time_point now)
{
    m_reachable.erase(peer);
    m_publisher.on_lost(peer, now);
    const std::vector<registration> relayed = take_unavailable(peer, now);
    m_publisher.relay_to_replicas(relayed, now);
    send_due(now);
    return relayed.size();
}

void replicated_registry::remember_unavailable(const std::string& from, const registration& received,
                                               time_point now)
{
    if (received.is_available())
    {
        return;
    }
    auto& reported = m_unavailable_by_replica[from];
    reported.emplace_back(now, received.id);
    while (now - reported.front().first > relay_window)
    {
        reported.pop_front();
    }
}

std::vector<registration> replicated_registry::take_unavailable(const std::string& replica, time_point now)
{
    std::vector<registration> items;
    const auto reported = m_unavailable_by_replica.extract(replica);
    if (reported.empty())
    {
        return items;
    }
    for (const auto& [at, id] : reported.mapped())
    {
        const std::optional<registration> known = m_registry.find(id);
        if (known && !known->is_available() && now - at <= relay_window)
        {
            items.push_back(*known);
        }
    }
    return items;
}

void replicated_registry::publish_changes(bool received_here, time_point now)
{
    const std::vector<registration> changes = m_registry.take_changes();
    m_publisher.on_changes(changes, received_here, m_registry.digest(), now);
    m_changes.insert(m_changes.end(), changes.begin(), changes.end());
    send_due(now);
}

void replicated_registry::send_due(time_point now)
{
    if (!m_publisher.is_due(now))
    {
        return;
    }
    for (registration_publisher::outgoing& message : m_publisher.take(m_reachable, m_registry.size(), now))
    {
        const bool settled = message.whole && is_settled(now);
        registration_update update{settled, std::move(message.changes), settled};
        if (message.whole)
        {
            update.items = m_registry.all(now);
        }
        m_messages.push_back({std::move(message.to), std::move(update)});
    }
}

duration replicated_registry::exchange_interval() const
{
    return m_registry.has_unconfirmed() ? std::min(unconfirmed_exchange_interval, m_exchange_interval)
                                        : m_exchange_interval;
}

bool replicated_registry::is_settled(time_point now) const
{
    return now - m_started_at > m_silence;
}

void replicated_registry::tick(bool leads, time_point now)
{
    if (!m_saved.empty() && now - m_started_at >= restore_delay)
    {
        restore(now);
    }
    if (m_registry.mark_unconfirmed_lost(m_silence * unconfirmed_silence_fraction, now))
    {
        publish_changes(true, now);
    }
    send_due(now);
    if (now >= m_exchange_at)
    {
        exchange(leads, now);
    }
}

void replicated_registry::exchange(bool leads, time_point now)
{
    m_exchange_at = now + exchange_interval();
    m_publisher.expedite_changes_to_replicas(now);
    send_due(now);
    const std::vector<std::string> others(m_publisher.replicas().begin(), m_publisher.replicas().end());
    registration_heard receipts{m_registry.take_heartbeat_receipts()};
    if (!others.empty())
    {
        m_messages.push_back({others, registration_digest{m_registry.digest()}});
        if (!receipts.items.empty())
        {
            m_messages.push_back({others, std::move(receipts)});
        }
    }
    if (leads && is_settled(now) && m_registry.expire(m_silence, now))
    {
        publish_changes(true, now);
    }
    // On every replica: the others neither learn what the leader forgets, nor would they forget it with a
    // leader that changes.
    const std::vector<backend_server_name> forgotten = m_registry.forget(m_silence, now);
    m_forgotten.insert(m_forgotten.end(), forgotten.begin(), forgotten.end());
}

std::vector<registration> replicated_registry::take_changes()
{
    return std::exchange(m_changes, {});
}

std::vector<refused_report> replicated_registry::take_refused()
{
    return m_registry.take_refused();
}

std::vector<replicated_registry::outgoing> replicated_registry::take_messages()
{
    return std::exchange(m_messages, {});
}

std::vector<backend_server_name> replicated_registry::take_forgotten()
{
    return std::exchange(m_forgotten, {});
}

std::optional<std::size_t> replicated_registry::take_restored_count()
{
    return std::exchange(m_restored_count, std::nullopt);
}

} // namespace flaxtiller
