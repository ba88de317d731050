#include <flaxtiller/registration/registration_publisher.hpp>

#include <flaxtiller/distribution/publisher.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

/// The time for which a digest of the registry is remembered.
constexpr duration digest_retention = duration::from_ms(10000);

} // namespace

void registration_publisher::set_replicas(std::set<std::string> others)
{
    m_replicas = std::move(others);
}

void registration_publisher::on_changes(const std::vector<registration>& changes, bool own,
                                        std::uint64_t digest, time_point now)
{
    for (const registration& item : changes)
    {
        m_to_followers.add(item, now);
        if (own)
        {
            m_to_replicas.add(item, now);
        }
    }
    m_digests.emplace_back(now, digest);
    // The first one was valid until the second.
    while (m_digests.size() > 1 && now - m_digests[1].first > digest_retention)
    {
        m_digests.pop_front();
    }
}

void registration_publisher::relay_to_replicas(const std::vector<registration>& items, time_point now)
{
    for (const registration& item : items)
    {
        m_to_replicas.add(item, now);
    }
}

std::optional<duration> registration_publisher::lag_of(std::uint64_t digest, time_point now) const
{
    time_point valid_until = now;
    for (auto item = m_digests.rbegin(); item != m_digests.rend(); ++item)
    {
        if (item->second == digest)
        {
            return now - valid_until;
        }
        valid_until = item->first;
    }
    return std::nullopt;
}

bool registration_publisher::is_follower(const std::string& peer, time_point now) const
{
    const auto last_digest = m_followers.find(peer);
    return last_digest != m_followers.end() &&
           now - last_digest->second < distribution::publisher::follower_timeout;
}

bool registration_publisher::on_digest(const std::string& from, std::uint64_t digest, std::uint64_t own,
                                       time_point now)
{
    const bool replica = m_replicas.count(from) > 0;
    const bool begins_to_follow = !replica && !is_follower(from, now);
    if (!replica)
    {
        m_followers[from] = now;
    }
    const bool link_was_lost = m_link_lost_at.erase(from) > 0;
    const bool may_lack_changes = link_was_lost || (begins_to_follow && digest != 0);
    const std::optional<duration> lag = digest == 0 ? std::nullopt : lag_of(digest, now);
    if (digest == own || (!may_lack_changes && lag && *lag <= m_timing.max_lag))
    {
        m_mismatch_since.erase(from);
        return false;
    }
    if (may_lack_changes)
    {
        m_full_list_pending.insert(from);
        return true;
    }
    const auto sent = m_full_list_sent_at.find(from);
    if (sent != m_full_list_sent_at.end() && now - sent->second < m_timing.resend_after)
    {
        return false;
    }
    if (digest == 0)
    {
        // The peer knows no registrations, which isn't a matter of changes in transit.
        // The full list is due without waiting for the mismatch to last.
        m_full_list_pending.insert(from);
        return false;
    }
    const bool in_flux = replica && now - last_change_at() <= m_timing.mismatch;
    const auto since = m_mismatch_since.emplace(from, now).first;
    // A digest that this replica had shows what the peer lacks, and for how long.
    if (!lag && now - since->second <= (in_flux ? m_timing.mismatch_in_flux : m_timing.mismatch))
    {
        return false;
    }
    m_mismatch_since.erase(since);
    m_full_list_pending.insert(from);
    return true;
}

void registration_publisher::request_full_list(const std::string& peer)
{
    m_full_list_pending.insert(peer);
}

void registration_publisher::on_lost(const std::string& peer, time_point now)
{
    m_followers.erase(peer);
    m_mismatch_since.erase(peer);
    m_full_list_sent_at.erase(peer);
    m_full_list_pending.erase(peer);
    // Later, the digest of such a peer no longer counts as a recent one anyway.
    std::erase_if(m_link_lost_at,
                  [&](const auto& item)
                  {
                      return now - item.second > digest_retention;
                  });
    m_link_lost_at[peer] = now;
}

bool registration_publisher::is_due(time_point now) const noexcept
{
    return m_to_replicas.is_due(now) || m_to_followers.is_due(now) || is_full_list_due(now) ||
           are_non_followers_due(now);
}

bool registration_publisher::is_full_list_due(time_point now) const noexcept
{
    return !m_full_list_pending.empty() && now >= m_full_list_paused_until;
}

bool registration_publisher::are_non_followers_due(time_point now) const noexcept
{
    return now >= m_non_followers_due_at;
}

time_point registration_publisher::last_change_at() const noexcept
{
    return m_digests.empty() ? time_point{} : m_digests.back().first;
}

registration_publisher::instances
registration_publisher::sort_instances(const std::set<std::string>& reachable, time_point now) const
{
    instances sorted;
    for (const std::string& peer : reachable)
    {
        if (m_replicas.count(peer) > 0)
        {
            continue;
        }
        (is_follower(peer, now) ? sorted.followers : sorted.non_followers).push_back(peer);
    }
    return sorted;
}

std::vector<registration_publisher::outgoing>
registration_publisher::take(const std::set<std::string>& reachable, std::size_t known, time_point now)
{
    std::vector<outgoing> messages;
    // Replicas are told of each backend server that leaves, so that this doesn't look at the instances.
    const std::vector<std::string> replicas = reachable_replicas(reachable);
    if (m_to_replicas.is_due(now))
    {
        send_to_replicas(replicas, now, messages);
    }
    if (m_to_followers.is_due(now) || are_non_followers_due(now))
    {
        send_to_instances(sort_instances(reachable, now), replicas.size() < m_replicas.size(), now, messages);
    }
    if (is_full_list_due(now))
    {
        send_full_list(reachable, known, now, messages);
    }
    return messages;
}

std::vector<std::string>
registration_publisher::reachable_replicas(const std::set<std::string>& reachable) const
{
    std::vector<std::string> replicas;
    for (const std::string& replica : m_replicas)
    {
        if (reachable.count(replica) > 0)
        {
            replicas.push_back(replica);
        }
    }
    return replicas;
}

void registration_publisher::send_to_replicas(const std::vector<std::string>& replicas, time_point now,
                                              std::vector<outgoing>& output)
{
    std::vector<registration> changes = m_to_replicas.take(duration{}, now);
    if (!replicas.empty())
    {
        output.push_back({replicas, false, std::move(changes)});
    }
}

void registration_publisher::send_to_instances(const instances& to, bool replica_unreachable, time_point now,
                                               std::vector<outgoing>& output)
{
    if (m_to_followers.is_due(now))
    {
        send_to_followers(to, replica_unreachable, now, output);
    }
    if (are_non_followers_due(now))
    {
        send_to_non_followers(to, output);
    }
}

void registration_publisher::send_to_followers(const instances& to, bool replica_unreachable, time_point now,
                                               std::vector<outgoing>& output)
{
    const duration pause =
        std::min(pause_per_follower * static_cast<double>(to.followers.size()), m_timing.max_pause);
    std::vector<registration> changes = m_to_followers.take(pause, now);
    if (replica_unreachable)
    {
        add_for_non_followers(changes, now);
    }
    if (!to.followers.empty())
    {
        output.push_back({to.followers, false, std::move(changes)});
    }
}

/// What is new may wait for the full list, which follows once the replicas have a link again; what leaves may
/// not.
void registration_publisher::add_for_non_followers(const std::vector<registration>& changes, time_point now)
{
    for (const registration& item : changes)
    {
        const bool available = item.is_available();
        if (available && m_non_follower_available >= max_items_to_non_followers)
        {
            continue;
        }
        m_non_follower_available += available ? 1 : 0;
        m_non_follower_changes.push_back(item);
    }
    m_non_followers_due_at = std::min(m_non_followers_due_at, now + non_follower_interval);
}

/// Some of these instances follow a replica that is unreachable from here and can't forward the changes.
void registration_publisher::send_to_non_followers(const instances& to, std::vector<outgoing>& output)
{
    m_non_followers_due_at = time_point::never();
    if (!m_non_follower_changes.empty() && !to.non_followers.empty())
    {
        output.push_back({to.non_followers, false, m_non_follower_changes});
    }
    m_non_follower_changes.clear();
    m_non_follower_available = 0;
}

void registration_publisher::send_full_list(const std::set<std::string>& reachable, std::size_t known,
                                            time_point now, std::vector<outgoing>& output)
{
    outgoing message;
    message.whole = true;
    for (const std::string& peer : m_full_list_pending)
    {
        if (reachable.count(peer) > 0)
        {
            message.to.push_back(peer);
            m_full_list_sent_at[peer] = now;
        }
    }
    m_full_list_pending.clear();
    if (message.to.empty())
    {
        return;
    }
    const duration pause = full_list_pause_per_item * static_cast<double>(known);
    m_full_list_paused_until = now + std::max(full_list_interval, pause);
    output.push_back(std::move(message));
}

} // namespace flaxtiller
