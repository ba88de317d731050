#include <flaxtiller/distribution/control_replica_selector.hpp>

#include <algorithm>

namespace flaxtiller::distribution
{

control_replica_selector::control_replica_selector(duration apply_bound) noexcept : m_apply_bound(apply_bound)
{
}

void control_replica_selector::on_word(const std::string& replica, std::int64_t revision)
{
    m_reported_revisions[replica] = revision;
}

void control_replica_selector::on_lost(const std::string& replica)
{
    m_reported_revisions.erase(replica);
}

bool control_replica_selector::on_current_revision(std::int64_t revision, time_point now)
{
    m_current_revision = std::max(m_current_revision, revision);
    const bool fell_behind = m_active_revision < m_current_revision && m_behind_since == time_point::never();
    m_behind_since = fell_behind ? now : m_behind_since;
    return fell_behind;
}

void control_replica_selector::on_activated(std::int64_t revision) noexcept
{
    m_active_revision = revision;
    if (m_active_revision >= m_current_revision)
    {
        m_behind_since = time_point::never();
    }
}

std::int64_t control_replica_selector::reported_revision(const std::string& replica) const
{
    const auto known = m_reported_revisions.find(replica);
    return known == m_reported_revisions.end() ? 0 : known->second;
}

duration control_replica_selector::lag_bound(bool serves) const
{
    const bool has_it = reported_revision(m_followed) >= m_current_revision;
    const duration usual = has_it ? max_transfer_time : serves ? max_lag : max_lag_before_serving;
    const duration share = m_apply_bound * (has_it ? max_transfer_share : max_lag_share);
    return m_apply_bound == duration{} ? usual : std::min(usual, share);
}

bool control_replica_selector::is_lagging(bool serves, time_point now) const
{
    return !m_followed.empty() && m_behind_since != time_point::never() &&
           now - m_behind_since >= lag_bound(serves);
}

time_point control_replica_selector::next_check(bool serves, time_point now) const
{
    if (m_followed.empty())
    {
        return now + own_zone_wait;
    }
    return m_behind_since == time_point::never() ? m_behind_since : m_behind_since + lag_bound(serves);
}

std::string control_replica_selector::choose(const std::vector<candidate>& reachable,
                                             const std::string& leader, bool serves, time_point now)
{
    if (is_lagging(serves, now))
    {
        // The followed replica should have the revision by now. Another replica has it, at least the leader.
        m_excluded_until[m_followed] = now + lagging_exclusion_time;
        m_behind_since = now;
    }
    if (m_follow_any_at == time_point::never() && !reachable.empty())
    {
        m_follow_any_at = now + own_zone_wait;
    }
    const candidate* best = nullptr;
    for (const candidate& item : reachable)
    {
        const auto exclusion = m_excluded_until.find(item.name);
        const bool may_follow = exclusion == m_excluded_until.end() || exclusion->second <= now;
        if (may_follow && (best == nullptr || item.away < best->away))
        {
            best = &item;
        }
    }
    const bool is_in_own_zone = best != nullptr && best->away == distance::in_zone;
    if (m_followed.empty() && !is_in_own_zone && now < m_follow_any_at)
    {
        return m_followed;
    }
    m_followed = best == nullptr ? leader : best->name;
    return m_followed;
}

} // namespace flaxtiller::distribution
