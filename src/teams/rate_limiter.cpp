#include <flaxtiller/teams/rate_limiter.hpp>

#include <flaxtiller/distribution/report_interval.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

/// The highest number of admitted requests of one team that the coordinator has not acknowledged: while it is
/// available, and for a short time while it doesn't answer. Callers of one team reach many entries, so that
/// higher numbers would add up to a large excess.
constexpr std::int64_t max_unacknowledged_requests = 2;
constexpr std::int64_t max_unacknowledged_without_answer = 1;
/// Another replica takes over as the coordinator within this time.
constexpr duration brief_outage = duration::from_ms(3000);
/// After this many report intervals without contact the coordinator may be unavailable, so that requests wait
/// for its decision.
constexpr double recent_contact_intervals = 1.6;
/// The share of the limit that all entries use together without an answer. The rest is left to entries that
/// can still reach a coordinator.
constexpr double combined_local_share = 0.5;
/// The assumed number of entries while it is unknown.
constexpr int assumed_entries = 1000;
/// The longest time for which requests of an exhausted team are refused without asking the coordinator. The
/// limit may be raised, or another replica take over as the coordinator, before the tokens return.
constexpr duration max_exhausted_time = duration::from_ms(1000);
/// The highest number of requests that wait for the coordinator; further requests are refused.
constexpr std::size_t max_waiting_requests = 1024;
/// Unanswered reports are sent again after this time.
constexpr duration resend_after_timeout = duration::from_ms(1000);
/// The retry time while the coordinator is unavailable. Another replica takes over as the coordinator within
/// seconds.
constexpr duration local_retry_after = duration::from_ms(500);

} // namespace

void rate_limiter::configure(const shared_map<team_name, team>& teams, int entries)
{
    m_entries = entries;
    std::erase_if(m_teams,
                  [&](const auto& item)
                  {
                      return teams.count(item.first) == 0;
                  });
}

bool rate_limiter::is_coordinator_unavailable(time_point now) const noexcept
{
    return std::any_of(m_sent.begin(), m_sent.end(),
                       [&](const auto& report)
                       {
                           return report.second.at >= m_last_contact_at &&
                                  now - report.second.at >= answer_timeout;
                       });
}

rate_limiter::decision rate_limiter::make_decision(std::uint64_t request, const team_name& team, verdict what,
                                                   time_point now) const
{
    return {request, team, what, {}, false, now - m_last_contact_at};
}

void rate_limiter::update_local_share(team_state& item, const rate_limit& limit, time_point now) const
{
    const double entries = m_entries > 0 ? m_entries : assumed_entries;
    item.local_share.limit(limit.requests_per_s * combined_local_share / entries, 1.0, now);
}

void rate_limiter::schedule_report(time_point at) noexcept
{
    m_report_at = std::min(m_report_at, at);
}

void rate_limiter::record_admitted(team_state& item, time_point now)
{
    ++item.unreported;
    schedule_report(now + report_batch_window);
}

/// @return the number of requests of a team that may be admitted without acknowledgement of the coordinator
std::int64_t rate_limiter::max_unacknowledged(time_point now) const noexcept
{
    const duration time_since_contact = now - m_last_contact_at;
    if (is_coordinator_unavailable(now))
    {
        return time_since_contact < brief_outage ? max_unacknowledged_without_answer : 0;
    }
    const duration contact_is_recent_for =
        distribution::report_interval(m_entries).every() * recent_contact_intervals;
    return time_since_contact < contact_is_recent_for ? max_unacknowledged_requests : 0;
}

rate_limiter::decision rate_limiter::admit(std::uint64_t request, const team& by, time_point now)
{
    team_state& item = m_teams[by.name];
    update_local_share(item, by.limit, now);
    if (!item.limited && item.unreported + item.unacknowledged < max_unacknowledged(now))
    {
        record_admitted(item, now);
        return make_decision(request, by.name, verdict::admitted, now);
    }
    if (is_coordinator_unavailable(now))
    {
        return decide_locally(request, by.name, item, now);
    }
    if (now < item.exhausted_until || m_waiting.size() >= max_waiting_requests)
    {
        decision refused = make_decision(request, by.name, verdict::refused, now);
        refused.retry_after = std::max(item.exhausted_until - now, answer_timeout);
        return refused;
    }
    m_waiting.emplace(m_next_ask++, waiting_request{request, by.name, now});
    schedule_report(now);
    return make_decision(request, by.name, verdict::awaiting_coordinator, now);
}

rate_limiter::decision rate_limiter::decide_locally(std::uint64_t request, const team_name& team,
                                                    team_state& item, time_point now)
{
    decision local = make_decision(request, team, verdict::refused, now);
    local.decided_locally = true;
    if (item.local_share.take(now))
    {
        local.what = verdict::admitted;
        record_admitted(item, now);
        return local;
    }
    local.retry_after = local_retry_after;
    return local;
}

void rate_limiter::on_limit_update(const limit_update& update, time_point now)
{
    m_last_contact_at = now;
    const auto answered = m_sent.find(update.number);
    if (answered != m_sent.end())
    {
        for (const limit_usage& usage : answered->second.usage)
        {
            team_state& item = m_teams[usage.team];
            item.unacknowledged = std::max<std::int64_t>(item.unacknowledged - usage.requests, 0);
        }
        m_sent.erase(answered);
    }
    for (const limit_status& status : update.statuses)
    {
        team_state& item = m_teams[status.team];
        item.limited = status.limited;
        item.exhausted_until = now + std::min(status.exhausted_for, max_exhausted_time);
    }
    for (const limit_decision& answer : update.request_decisions)
    {
        const auto waiting = m_waiting.find(answer.number);
        if (waiting == m_waiting.end())
        {
            continue;
        }
        decision decided = make_decision(waiting->second.request, waiting->second.team,
                                         answer.granted ? verdict::admitted : verdict::refused, now);
        decided.retry_after = answer.retry_after;
        m_decisions.push_back(std::move(decided));
        m_waiting.erase(waiting);
    }
}

void rate_limiter::cancel_request(std::uint64_t request)
{
    std::erase_if(m_waiting,
                  [&](const auto& item)
                  {
                      return item.second.request == request;
                  });
}

/// Sends the content of reports again whose coordinator has been replaced or whose answer was lost.
void rate_limiter::resend_unacknowledged(time_point now)
{
    for (auto at = m_sent.begin(); at != m_sent.end();)
    {
        const auto current = at++;
        if (now - current->second.at < resend_after_timeout)
        {
            continue;
        }
        for (const limit_usage& usage : current->second.usage)
        {
            team_state& item = m_teams[usage.team];
            item.unacknowledged -= usage.requests;
            item.unreported += usage.requests;
        }
        m_sent.erase(current);
        schedule_report(now);
    }
}

void rate_limiter::on_time(time_point now)
{
    for (auto at = m_waiting.begin(); at != m_waiting.end();)
    {
        const auto current = at++;
        const waiting_request& item = current->second;
        if (now - item.since < answer_timeout)
        {
            continue;
        }
        m_decisions.push_back(decide_locally(item.request, item.team, m_teams[item.team], now));
        m_waiting.erase(current);
    }
    resend_unacknowledged(now);
}

std::vector<rate_limiter::decision> rate_limiter::take_decisions()
{
    return std::exchange(m_decisions, {});
}

std::optional<limit_report> rate_limiter::take_report(time_point now)
{
    if (now < m_report_at)
    {
        return std::nullopt;
    }
    m_report_at = time_point::never();
    limit_report report;
    report.number = m_next_report++;
    report.entries = m_entries;
    for (auto& [name, item] : m_teams)
    {
        if (item.unreported > 0)
        {
            report.usage.push_back({name, item.unreported});
            item.unacknowledged += std::exchange(item.unreported, 0);
        }
    }
    for (auto& [number, item] : m_waiting)
    {
        if (!item.sent)
        {
            item.sent = true;
            report.pending_requests.push_back({number, item.team});
        }
    }
    if (report.usage.empty() && report.pending_requests.empty())
    {
        return std::nullopt;
    }
    m_sent.emplace(report.number, sent_report{report.usage, now});
    return report;
}

time_point rate_limiter::next_time() const noexcept
{
    time_point next = m_report_at;
    if (!m_waiting.empty())
    {
        // Requests are ordered by arrival, so that the first one expires first.
        next = std::min(next, m_waiting.begin()->second.since + answer_timeout);
    }
    if (!m_sent.empty())
    {
        next = std::min(next, m_sent.begin()->second.at + resend_after_timeout);
    }
    return next;
}

} // namespace flaxtiller
