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
/// The same bound for teams whose flood could pass through entries of a large fleet that can't know yet that
/// the coordinator is silent: the report interval of such a fleet is longer than an election.
constexpr duration max_recent_contact = duration::from_ms(2500);
/// The share of the limit that all entries use together without an answer. The rest is left to entries that
/// can still reach a coordinator.
constexpr double combined_local_share = 0.5;
/// The highest number of tokens by which unacknowledged requests overdraw the local share.
constexpr double max_share_debt = 1.0;
/// The assumed number of entries while it is unknown.
constexpr int assumed_entries = 1000;
/// The longest time for which requests of an exhausted team are refused without asking the coordinator. The
/// limit may be raised, or another replica take over as the coordinator, before the tokens return.
constexpr duration max_exhausted_time = duration::from_ms(1000);
/// The limit, in requests per second, from which a flood until another replica takes over may exceed the
/// fixed slack of the tolerance.
constexpr double min_flood_limit = 4.0;
/// The highest number of requests that wait for the coordinator; further requests are refused.
constexpr std::size_t max_waiting_requests = 1024;
/// The limit, in requests per second, from which a flood until another replica takes over may exceed a large
/// part of the fixed slack, so that it takes a witness.
constexpr double min_witnessed_limit = 2.0;
/// A team is witnessed if the requests that all entries may admit without an answer are more than this share
/// of its limit. The tolerance has room for a smaller share.
constexpr double witnessed_share = 0.5;
/// A new coordinator has notified all entries of the teams that used up their limit within this time. Until
/// then it is asked for the first request of each team; later, each of many teams would be asked for at each
/// of many entries, which delays most requests.
constexpr duration status_settling_time = duration::from_ms(300);
/// The number of times that the coordinator, or its successor, is asked for a request.
constexpr int max_questions = 2;
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
    decision made{request, team, what, {}, false, now - m_last_contact_at};
    const auto known = m_teams.find(team);
    if (known != m_teams.end())
    {
        made.limited = known->second.limited;
        made.unacknowledged = known->second.unreported + known->second.unacknowledged;
    }
    return made;
}

void rate_limiter::update_local_share(team_state& item, const rate_limit& limit, time_point now) const
{
    const double entries = m_entries > 0 ? m_entries : assumed_entries;
    item.local_share.limit(limit.requests_per_s * combined_local_share / entries, 1.0, now);
    constexpr double max_requests_without_answer = max_unacknowledged_requests + 1.0;
    const double limit_per_window = rate_tolerance{}.limit_per_window(limit);
    item.counts_unacknowledged = max_requests_without_answer * entries > limit_per_window;
    item.exceeds_by_one_each = limit.requests_per_s >= min_flood_limit && entries > limit_per_window;
    item.is_witnessed = limit.requests_per_s >= min_witnessed_limit &&
                        max_requests_without_answer * entries > limit_per_window * witnessed_share;
}

void rate_limiter::schedule_report(time_point at) noexcept
{
    m_report_at = std::min(m_report_at, at);
}

void rate_limiter::record_admitted(team_state& item, time_point now)
{
    ++item.unreported;
    schedule_report(now + report_batch_window);
    record_for_witnesses(item, now);
}

void rate_limiter::record_for_witnesses(team_state& item, time_point now)
{
    if (item.is_witnessed)
    {
        ++item.unwitnessed;
        m_witness_report_at = std::min(m_witness_report_at, now + report_batch_window);
    }
}

duration rate_limiter::contact_is_recent_for(const team_state& item) const noexcept
{
    const duration recent = distribution::report_interval(m_entries).every() * recent_contact_intervals;
    return item.exceeds_by_one_each ? std::min(recent, max_recent_contact) : recent;
}

/// @return the time since the last contact for which an outage is taken for a change of the coordinator
duration rate_limiter::max_brief_outage() const noexcept
{
    return std::max(distribution::report_interval(m_entries).every() * recent_contact_intervals,
                    brief_outage);
}

/// @return the number of requests of a team that may be admitted without acknowledgement of the coordinator
std::int64_t rate_limiter::max_unacknowledged(const team_state& item, time_point now) const noexcept
{
    const duration time_since_contact = now - m_last_contact_at;
    if (is_coordinator_unavailable(now))
    {
        return time_since_contact < max_brief_outage() ? max_unacknowledged_without_answer : 0;
    }
    return time_since_contact < contact_is_recent_for(item) ? max_unacknowledged_requests : 0;
}

bool rate_limiter::may_admit_unacknowledged(const team_state& item, std::int64_t max_requests,
                                            time_point now) const noexcept
{
    const bool status_is_known =
        item.status_from == m_coordinators || now - m_coordinator_changed_at >= status_settling_time;
    return status_is_known && !item.limited && item.unreported + item.unacknowledged < max_requests;
}

void rate_limiter::admit_unacknowledged(team_state& item, time_point now)
{
    if (item.counts_unacknowledged)
    {
        item.local_share.spend(1.0, max_share_debt, now);
    }
    record_admitted(item, now);
}

rate_limiter::decision rate_limiter::admit(std::uint64_t request, const team& by, time_point now)
{
    team_state& item = m_teams[by.name];
    update_local_share(item, by.limit, now);
    if (may_admit_unacknowledged(item, max_unacknowledged(item, now), now))
    {
        admit_unacknowledged(item, now);
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

/// Handles a request that has waited for an answer in vain. If a flood of its team could use up the tolerance
/// with one request of each entry, the request is asked for again, since another replica may have taken over.
void rate_limiter::on_unanswered(waiting_request waiting, time_point now)
{
    team_state& item = m_teams[waiting.team];
    const bool brief = now - m_last_contact_at < max_brief_outage();
    if (!item.counts_unacknowledged || !brief ||
        !may_admit_unacknowledged(item, max_unacknowledged_without_answer, now))
    {
        m_decisions.push_back(decide_locally(waiting.request, waiting.team, item, now));
        return;
    }
    if (item.exceeds_by_one_each && ++waiting.unanswered < max_questions)
    {
        waiting.since = now;
        waiting.sent = false;
        m_waiting.emplace(m_next_ask++, std::move(waiting));
        schedule_report(now);
        return;
    }
    admit_unacknowledged(item, now);
    decision admitted = make_decision(waiting.request, waiting.team, verdict::admitted, now);
    admitted.decided_locally = true;
    m_decisions.push_back(std::move(admitted));
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
            if (item.counts_unacknowledged)
            {
                item.local_share.spend(-static_cast<double>(usage.requests), max_share_debt, now);
            }
        }
        m_sent.erase(answered);
    }
    for (const limit_status& status : update.statuses)
    {
        team_state& item = m_teams[status.team];
        item.limited = false;
        if (status.limited)
        {
            set_limited(item, now);
        }
        item.status_from = m_coordinators;
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
        if (answer.granted)
        {
            record_for_witnesses(m_teams[waiting->second.team], now);
        }
        m_decisions.push_back(std::move(decided));
        m_waiting.erase(waiting);
    }
}

/// A team that used up its limit has no share of it left at any entry.
void rate_limiter::set_limited(team_state& item, time_point now)
{
    item.limited = true;
    if (item.counts_unacknowledged)
    {
        item.local_share.spend(std::max(item.local_share.tokens(now), 0.0), max_share_debt, now);
    }
}

void rate_limiter::on_other_limit_update(const limit_update& update, time_point now)
{
    for (const limit_status& status : update.statuses)
    {
        if (status.limited && update.number == 0)
        {
            set_limited(m_teams[status.team], now);
        }
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

void rate_limiter::resend(const sent_report& report)
{
    for (const limit_usage& usage : report.usage)
    {
        team_state& item = m_teams[usage.team];
        item.unacknowledged -= usage.requests;
        item.unreported += usage.requests;
    }
}

/// Removes from a report what the witnesses know, which counts as acknowledged.
void rate_limiter::drop_witnessed(sent_report& report)
{
    std::erase_if(report.usage,
                  [&](const limit_usage& usage)
                  {
                      team_state& item = m_teams[usage.team];
                      item.unacknowledged -= item.is_witnessed ? usage.requests : 0;
                      return item.is_witnessed;
                  });
}

void rate_limiter::on_coordinator_changed(bool was_witness, time_point now)
{
    ++m_coordinators;
    m_coordinator_changed_at = now;
    for (auto& [number, report] : m_sent)
    {
        if (was_witness)
        {
            drop_witnessed(report);
        }
        resend(report);
    }
    m_sent.clear();
    for (auto& [number, item] : m_waiting)
    {
        item.sent = false;
    }
    schedule_report(now);
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
        resend(current->second);
        m_sent.erase(current);
        schedule_report(now);
    }
}

void rate_limiter::on_time(time_point now)
{
    // Requests are ordered by the start of their wait.
    while (!m_waiting.empty() && now - m_waiting.begin()->second.since >= answer_timeout)
    {
        waiting_request unanswered = std::move(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        on_unanswered(std::move(unanswered), now);
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

std::optional<limit_report> rate_limiter::take_witness_report(time_point now)
{
    if (now < m_witness_report_at)
    {
        return std::nullopt;
    }
    m_witness_report_at = time_point::never();
    limit_report report;
    report.entries = m_entries;
    report.for_witness = true;
    for (auto& [name, item] : m_teams)
    {
        if (item.unwitnessed > 0)
        {
            report.usage.push_back({name, std::exchange(item.unwitnessed, 0)});
        }
    }
    return report.usage.empty() ? std::nullopt : std::optional(std::move(report));
}

time_point rate_limiter::next_time() const noexcept
{
    time_point next = std::min(m_report_at, m_witness_report_at);
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
