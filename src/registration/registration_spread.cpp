#include <flaxtiller/registration/registration_spread.hpp>

#include <flaxtiller/distribution/publisher.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

/// How far behind an instance may be that merely lags.
constexpr duration digests_kept = duration::from_ms(10000);

} // namespace

void registration_spread::set_replicas(std::set<std::string> others)
{
    m_replicas = std::move(others);
}

void registration_spread::on_changes(const std::vector<registration>& changes, bool own, std::uint64_t digest,
                                     time_point now)
{
    for (const registration& item : changes)
    {
        const bool leaves = item.state != registration_state::ready;
        m_spread_at = std::min(m_spread_at, leaves ? now : now + gather);
        m_all.push_back(item);
        if (own)
        {
            m_own.push_back(item);
        }
    }
    m_digests.emplace_back(now, digest);
    while (now - m_digests.front().first > digests_kept)
    {
        m_digests.pop_front();
    }
}

bool registration_spread::was_here_lately(std::uint64_t digest, time_point now) const
{
    return std::any_of(m_digests.rbegin(), m_digests.rend(),
                       [&](const auto& item)
                       {
                           return item.second == digest && now - item.first <= digests_kept;
                       });
}

bool registration_spread::on_digest(const std::string& from, std::uint64_t digest, std::uint64_t own,
                                    time_point now)
{
    const bool replica = m_replicas.count(from) > 0;
    if (!replica)
    {
        m_followers[from] = now;
    }
    if (digest == own || (digest != 0 && was_here_lately(digest, now)))
    {
        m_differs_since.erase(from);
        return false;
    }
    const auto sent = m_sent_whole_at.find(from);
    if (sent != m_sent_whole_at.end() && now - sent->second < resend_after)
    {
        return false;
    }
    if (digest == 0)
    {
        // It knows nothing yet, and needn't wait until that has lasted.
        m_wants_whole.insert(from);
        return false;
    }
    const bool in_flux = replica && now - changed_at() <= differs_bound;
    const auto since = m_differs_since.emplace(from, now).first;
    if (now - since->second <= (in_flux ? differs_bound_in_flux : differs_bound))
    {
        return false;
    }
    m_differs_since.erase(since);
    m_wants_whole.insert(from);
    return true;
}

void registration_spread::send_whole(const std::string& peer)
{
    m_wants_whole.insert(peer);
}

void registration_spread::on_lost(const std::string& peer)
{
    m_followers.erase(peer);
    m_differs_since.erase(peer);
    m_sent_whole_at.erase(peer);
    m_wants_whole.erase(peer);
}

bool registration_spread::is_due(time_point now) const noexcept
{
    return are_changes_due(now) || is_whole_due(now) || is_elsewhere_due(now);
}

bool registration_spread::are_changes_due(time_point now) const noexcept
{
    return m_spread_at != time_point::never() && now >= std::max(m_spread_at, m_pause_until);
}

bool registration_spread::is_whole_due(time_point now) const noexcept
{
    return !m_wants_whole.empty() && now >= m_whole_pause_until;
}

bool registration_spread::is_elsewhere_due(time_point now) const noexcept
{
    return now >= m_elsewhere_at;
}

time_point registration_spread::changed_at() const noexcept
{
    return m_digests.empty() ? time_point{} : m_digests.back().first;
}

registration_spread::receivers registration_spread::sort(const std::set<std::string>& reachable,
                                                         time_point now) const
{
    receivers sorted;
    for (const std::string& peer : reachable)
    {
        const auto follows = m_followers.find(peer);
        if (m_replicas.count(peer) > 0)
        {
            sorted.replicas.push_back(peer);
        }
        else if (follows != m_followers.end() &&
                 now - follows->second < distribution::publisher::follower_timeout)
        {
            sorted.followers.push_back(peer);
        }
        else
        {
            sorted.elsewhere.push_back(peer);
        }
    }
    return sorted;
}

std::vector<registration_spread::outgoing> registration_spread::take(const std::set<std::string>& reachable,
                                                                     std::size_t known, time_point now)
{
    std::vector<outgoing> messages;
    const receivers to = sort(reachable, now);
    const bool cut_off = to.replicas.size() < m_replicas.size();
    if (are_changes_due(now))
    {
        spread(to, cut_off, now, messages);
    }
    if (is_elsewhere_due(now))
    {
        tell_elsewhere(to, messages);
    }
    if (is_whole_due(now))
    {
        tell_whole(reachable, known, now, messages);
    }
    return messages;
}

void registration_spread::spread(const receivers& to, bool cut_off, time_point now,
                                 std::vector<outgoing>& into)
{
    m_spread_at = time_point::never();
    m_pause_until = now + pause_per_receiver * static_cast<double>(to.followers.size());
    if (cut_off)
    {
        // What doesn't fit comes by the digests, once the replicas have a link again.
        const std::size_t room = most_items_elsewhere - std::min(m_elsewhere.size(), most_items_elsewhere);
        const auto taken = static_cast<std::ptrdiff_t>(std::min(room, m_all.size()));
        m_elsewhere.insert(m_elsewhere.end(), m_all.begin(), m_all.begin() + taken);
        m_elsewhere_at = std::min(m_elsewhere_at, now + elsewhere_every);
    }
    if (!m_own.empty() && !to.replicas.empty())
    {
        into.push_back({to.replicas, false, m_own});
    }
    if (!m_all.empty() && !to.followers.empty())
    {
        into.push_back({to.followers, false, m_all});
    }
    m_own.clear();
    m_all.clear();
}

/// Their own replica can't be reached from here, so that it can't tell them.
void registration_spread::tell_elsewhere(const receivers& to, std::vector<outgoing>& into)
{
    m_elsewhere_at = time_point::never();
    if (!m_elsewhere.empty() && !to.elsewhere.empty())
    {
        into.push_back({to.elsewhere, false, m_elsewhere});
    }
    m_elsewhere.clear();
}

void registration_spread::tell_whole(const std::set<std::string>& reachable, std::size_t known,
                                     time_point now, std::vector<outgoing>& into)
{
    outgoing message;
    message.whole = true;
    for (const std::string& peer : m_wants_whole)
    {
        if (reachable.count(peer) > 0)
        {
            message.to.push_back(peer);
            m_sent_whole_at[peer] = now;
        }
    }
    m_wants_whole.clear();
    if (message.to.empty())
    {
        return;
    }
    const duration pause = whole_pause_per_item * static_cast<double>(known);
    m_whole_pause_until = now + std::max(whole_every, pause);
    into.push_back(std::move(message));
}

} // namespace flaxtiller
