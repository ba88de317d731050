#include <flaxtiller/distribution/replica_choice.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

void replica_choice::on_word(const std::string& replica, std::int64_t revision)
{
    m_said[replica] = revision;
}

void replica_choice::on_lost(const std::string& replica)
{
    m_said.erase(replica);
}

bool replica_choice::on_wanted(std::int64_t revision, time_point now)
{
    m_wanted = std::max(m_wanted, revision);
    const bool fell_behind = m_in_force < m_wanted && m_behind_since == time_point::never();
    m_behind_since = fell_behind ? now : m_behind_since;
    return fell_behind;
}

void replica_choice::on_in_force(std::int64_t revision) noexcept
{
    m_in_force = revision;
    if (m_in_force >= m_wanted)
    {
        m_behind_since = time_point::never();
    }
}

std::int64_t replica_choice::said(const std::string& replica) const
{
    const auto known = m_said.find(replica);
    return known == m_said.end() ? 0 : known->second;
}

bool replica_choice::lags(bool serves, time_point now) const
{
    if (m_followed.empty() || m_behind_since == time_point::never())
    {
        return false;
    }
    const bool has_it = said(m_followed) >= m_wanted;
    const duration bound = has_it ? transfer_bound : serves ? lag_bound : first_lag_bound;
    return now - m_behind_since >= bound;
}

std::string replica_choice::choose(const std::vector<candidate>& reachable, const std::string& leader,
                                   bool serves, time_point now)
{
    if (lags(serves, now))
    {
        // It should have had the revision by now. Another one has it, at the latest the leader.
        m_passed_over_until[m_followed] = now + passed_over_for;
        m_behind_since = now;
    }
    if (m_follow_any_at == time_point::never() && !reachable.empty())
    {
        m_follow_any_at = now + near_bound;
    }
    const candidate* best = nullptr;
    for (const candidate& item : reachable)
    {
        const auto passed_over = m_passed_over_until.find(item.name);
        const bool may_follow = passed_over == m_passed_over_until.end() || passed_over->second <= now;
        if (may_follow && (best == nullptr || item.away < best->away))
        {
            best = &item;
        }
    }
    const bool near = best != nullptr && best->away == distance::in_zone;
    if (m_followed.empty() && !near && now < m_follow_any_at)
    {
        return m_followed;
    }
    m_followed = best == nullptr ? leader : best->name;
    return m_followed;
}

} // namespace flaxtiller::distribution
