#include "registration_hub.hpp"

#include "log.hpp"

#include <flaxtiller/distribution/publisher.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// How often replicas tell one another whom they heard: well under the silence that loses a backend server.
constexpr duration tell_every = duration::from_ms(3000);
/// A digest that differs for this long isn't just a change on its way.
constexpr duration differs_bound = duration::from_ms(1500);
/// What was sent whole isn't sent again before this: the receiver may know more, and what that is comes by
/// itself.
constexpr duration resend_after = duration::from_ms(5000);
/// Backend servers that come share a message if they come within this; one that leaves is told of at once.
constexpr duration gather = duration::from_ms(100);
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
    m_spread_at = now;
    m_tell_at = now + tell_unconfirmed_every;
    note_changes(true, now);
}

/// A replica that didn't restart knows which of the restored ones still live.
void registration_hub::take_settled(const registration_update& update, time_point now)
{
    m_before.clear();
    if (m_registry.drop_unconfirmed(update.items))
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
    m_followers[from] = now;
    if (said.digest == m_registry.digest())
    {
        m_differs_since.erase(from);
        return;
    }
    if (said.digest == registry().digest())
    {
        // It knows nothing yet, and needn't wait until that has lasted.
        send_all(from, now);
        return;
    }
    const auto resent = m_resent_at.find(from);
    if (resent != m_resent_at.end() && now - resent->second < resend_after)
    {
        return;
    }
    const auto since = m_differs_since.emplace(from, now).first;
    if (now - since->second > differs_bound)
    {
        log(log_level::info, "registrations_resent",
            {{"to", from}, {"differed_ms", (now - since->second).ms()}});
        m_differs_since.erase(since);
        m_resent_at[from] = now;
        send_all(from, now);
    }
}

void registration_hub::on_reachable(const std::string& peer, time_point now)
{
    if (!m_registry.empty())
    {
        m_links.send(peer, registration_update{false, m_registry.all(now), is_settled(now)});
    }
}

void registration_hub::send_all(const std::string& to, time_point now)
{
    m_links.send(to, registration_update{is_settled(now), m_registry.all(now), is_settled(now)});
}

void registration_hub::note_changes(bool own, time_point now)
{
    const std::vector<registration> changes = m_registry.take_changes();
    m_file.append(changes);
    for (const registration& item : changes)
    {
        log(log_level::info, "registration",
            {{"backend_server", item.id.str()},
             {"service", item.service.str()},
             {"address", item.address},
             {"state", nlohmann::json(item.state).get<std::string>()},
             {"sequence", item.sequence},
             {"born_ms", item.born_ms},
             {"warmup_ms", item.warmup_left.ms()}});
        const bool leaves = item.state != registration_state::ready;
        m_spread_at = std::min(m_spread_at, leaves ? now : now + gather);
        m_all_changes.push_back(item);
        if (own)
        {
            m_own_changes.push_back(item);
        }
    }
    if (now >= m_spread_at)
    {
        spread(now);
    }
}

/// Replicas are told what was heard here, and followers all; each replica tells its own followers. One that
/// can't reach some replica tells every process itself.
void registration_hub::spread(time_point now)
{
    m_spread_at = time_point::never();
    const registration_update own{false, std::exchange(m_own_changes, {}), false};
    const registration_update all{false, std::exchange(m_all_changes, {}), false};
    const std::set<std::string> reachable = m_links.reachable();
    const bool cut_off =
        !std::includes(reachable.begin(), reachable.end(), m_replicas.begin(), m_replicas.end());
    std::vector<std::string> replicas;
    std::vector<std::string> followers;
    for (const std::string& peer : reachable)
    {
        const auto follows = m_followers.find(peer);
        if (m_replicas.count(peer) > 0)
        {
            replicas.push_back(peer);
        }
        else if (cut_off || (follows != m_followers.end() &&
                             now - follows->second < distribution::publisher::follower_age))
        {
            followers.push_back(peer);
        }
    }
    if (!own.items.empty())
    {
        m_links.send(replicas, own);
    }
    if (!all.items.empty())
    {
        m_links.send(followers, all);
    }
}

void registration_hub::set_replicas(std::set<std::string> others)
{
    m_replicas = std::move(others);
}

void registration_hub::tick(bool leads, time_point now)
{
    if (!m_before.empty() && now - m_started_at >= restore_after)
    {
        restore(now);
    }
    if (m_registry.drop_unconfirmed(m_silence * unconfirmed_share, now))
    {
        note_changes(true, now);
    }
    if (now >= m_spread_at)
    {
        spread(now);
    }
    if (now < m_tell_at)
    {
        return;
    }
    m_tell_at = now + (m_registry.has_unconfirmed() ? tell_unconfirmed_every : tell_every);
    const registration_heard heard{m_registry.take_heard()};
    const registration_digest known{m_registry.digest()};
    const std::vector<std::string> others(m_replicas.begin(), m_replicas.end());
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
