#include <flaxtiller/distribution/control_replica_selector.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::distribution
{

control_replica_selector::control_replica_selector(duration apply_bound) noexcept : m_apply_bound(apply_bound)
{
}

void control_replica_selector::on_word(const std::string& replica, std::int64_t revision, bool knows_leader)
{
    m_reported_revisions[replica] = revision;
    if (replica == m_followed)
    {
        m_followed_lost_at = time_point::never();
        const bool counts = !knows_leader && std::exchange(m_confirmed_since_answer, false);
        m_leaderless_answers = knows_leader ? 0 : m_leaderless_answers + (counts ? 1 : 0);
    }
    const auto excluded = m_exclusions.find(replica);
    if (excluded != m_exclusions.end())
    {
        excluded->second.revision = revision;
        excluded->second.knows_leader = knows_leader;
    }
}

void control_replica_selector::on_lost(const std::string& replica, time_point now)
{
    m_reported_revisions.erase(replica);
    if (replica == m_followed)
    {
        m_followed_lost_at = std::min(m_followed_lost_at, now);
    }
    else if (!m_followed.empty())
    {
        exclude(replica, now);
    }
}

void control_replica_selector::exclude(const std::string& replica, time_point until)
{
    exclusion& item = m_exclusions[replica];
    item = exclusion{std::max(item.until, until)};
}

bool control_replica_selector::is_excluded(const std::string& replica) const
{
    return m_exclusions.count(replica) > 0;
}

void control_replica_selector::end_exclusions(time_point now)
{
    std::erase_if(m_exclusions,
                  [&](const auto& item)
                  {
                      const exclusion& excluded = item.second;
                      return now >= excluded.until && excluded.knows_leader &&
                             excluded.revision >= m_current_revision;
                  });
}

bool control_replica_selector::on_current_revision(std::int64_t revision, time_point now)
{
    m_confirmed_since_answer = true;
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

bool control_replica_selector::awaits_new_link(time_point now) const
{
    return m_followed_lost_at != time_point::never() && now - m_followed_lost_at < link_renewal_time;
}

time_point control_replica_selector::next_check(bool serves, time_point now) const
{
    if (m_followed.empty())
    {
        return now + own_zone_wait;
    }
    if (awaits_new_link(now))
    {
        return m_followed_lost_at + link_renewal_time;
    }
    return m_behind_since == time_point::never() ? m_behind_since : m_behind_since + lag_bound(serves);
}

std::string control_replica_selector::choose(const std::vector<candidate>& reachable,
                                             const std::string& leader, bool serves, time_point now)
{
    if (awaits_new_link(now))
    {
        return m_followed;
    }
    if (m_followed_lost_at != time_point::never())
    {
        exclude(m_followed, now);
        m_followed_lost_at = time_point::never();
    }
    if (m_leaderless_answers >= max_leaderless_answers)
    {
        exclude(m_followed, now);
        m_leaderless_answers = 0;
    }
    end_exclusions(now);
    if (is_lagging(serves, now))
    {
        // The followed replica should have the revision by now. Another replica has it, at least the leader.
        exclude(m_followed, now + lagging_exclusion_time);
        m_behind_since = now;
    }
    if (m_follow_any_at == time_point::never() && !reachable.empty())
    {
        m_follow_any_at = now + own_zone_wait;
    }
    const candidate* best = nullptr;
    for (const candidate& item : reachable)
    {
        if (!is_excluded(item.name) && (best == nullptr || item.away < best->away))
        {
            best = &item;
        }
    }
    const bool is_in_own_zone = best != nullptr && best->away == distance::in_zone;
    if (m_followed.empty() && !is_in_own_zone && now < m_follow_any_at)
    {
        return m_followed;
    }
    const std::string before = std::exchange(m_followed, best == nullptr ? leader : best->name);
    m_leaderless_answers = before == m_followed ? m_leaderless_answers : 0;
    return m_followed;
}

} // namespace flaxtiller::distribution
