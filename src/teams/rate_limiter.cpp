#include <flaxtiller/teams/rate_limiter.hpp>

#include <flaxtiller/distribution/report_interval.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

namespace
{

/// Requests of one team that the keeper doesn't know of yet: while it lives, and for a moment where it
/// doesn't answer. Callers of one team reach many entries, so that more would add up.
constexpr std::int64_t most_unknown_at_first = 2;
constexpr std::int64_t most_unknown_alone = 1;
/// Another replica keeps the limits within this.
constexpr duration short_silence = duration::from_ms(3000);
/// A keeper that wasn't heard of for this many reports may be gone: it is asked first.
constexpr double fresh_paces = 1.6;
/// Where nobody answers, entries use this share of the limit together: some may still reach a keeper.
constexpr double share_alone = 0.5;
/// While it isn't known how many entries there are.
constexpr int unknown_entries = 1000;
/// A team's limit may be raised, or another replica keep it, before its tokens come back: the keeper is asked
/// again after this.
constexpr duration longest_dry = duration::from_ms(1000);
/// Requests that wait for the keeper's word; more are refused.
constexpr std::size_t most_waiting = 1024;
/// What no answer came to is reported again after this.
constexpr duration send_again_after = duration::from_ms(1000);
/// When to come back where nobody can tell when the limit has room: another replica keeps the limits within
/// seconds.
constexpr duration retry_alone = duration::from_ms(500);

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

bool rate_limiter::is_alone(time_point now) const noexcept
{
    return std::any_of(m_sent.begin(), m_sent.end(),
                       [&](const auto& report)
                       {
                           return report.second.at >= m_heard_at && now - report.second.at >= answer_bound;
                       });
}

rate_limiter::decision rate_limiter::made(std::uint64_t request, const team_name& team, verdict what,
                                          time_point now) const
{
    return {request, team, what, {}, false, now - m_heard_at};
}

void rate_limiter::set_limit(standing& item, const rate_limit& limit, time_point now) const
{
    const double entries = m_entries > 0 ? m_entries : unknown_entries;
    item.own.limit(limit.requests_per_s * share_alone / entries, 1.0, now);
}

void rate_limiter::want_report(time_point at) noexcept
{
    m_report_at = std::min(m_report_at, at);
}

void rate_limiter::note_admitted(standing& item, time_point now)
{
    ++item.unreported;
    want_report(now + gather);
}

/// @return how many requests of a team may be admitted without the keeper's knowledge
std::int64_t rate_limiter::most_unknown(time_point now) const noexcept
{
    const duration silence = now - m_heard_at;
    if (is_alone(now))
    {
        return silence < short_silence ? most_unknown_alone : 0;
    }
    const duration fresh_for = distribution::report_interval(m_entries).every() * fresh_paces;
    return silence < fresh_for ? most_unknown_at_first : 0;
}

rate_limiter::decision rate_limiter::admit(std::uint64_t request, const team& by, time_point now)
{
    standing& item = m_teams[by.name];
    set_limit(item, by.limit, now);
    if (!item.limited && item.unreported + item.unanswered < most_unknown(now))
    {
        note_admitted(item, now);
        return made(request, by.name, verdict::admitted, now);
    }
    if (is_alone(now))
    {
        return decide_alone(request, by.name, item, now);
    }
    if (now < item.dry_until || m_waiting.size() >= most_waiting)
    {
        decision refused = made(request, by.name, verdict::refused, now);
        refused.retry_after = std::max(item.dry_until - now, answer_bound);
        return refused;
    }
    m_waiting.emplace(m_next_ask++, waiting{request, by.name, now});
    want_report(now);
    return made(request, by.name, verdict::asked, now);
}

rate_limiter::decision rate_limiter::decide_alone(std::uint64_t request, const team_name& team,
                                                  standing& item, time_point now)
{
    decision alone = made(request, team, verdict::refused, now);
    alone.alone = true;
    if (item.own.take(now))
    {
        alone.what = verdict::admitted;
        note_admitted(item, now);
        return alone;
    }
    alone.retry_after = retry_alone;
    return alone;
}

void rate_limiter::on_word(const limit_word& word, time_point now)
{
    m_heard_at = now;
    const auto answered = m_sent.find(word.number);
    if (answered != m_sent.end())
    {
        for (const limit_use& used : answered->second.used)
        {
            standing& item = m_teams[used.team];
            item.unanswered = std::max<std::int64_t>(item.unanswered - used.requests, 0);
        }
        m_sent.erase(answered);
    }
    for (const limit_standing& told : word.standings)
    {
        standing& item = m_teams[told.team];
        item.limited = told.limited;
        item.dry_until = now + std::min(told.dry_for, longest_dry);
    }
    for (const limit_grant& grant : word.grants)
    {
        const auto asked = m_waiting.find(grant.number);
        if (asked == m_waiting.end())
        {
            continue;
        }
        decision told = made(asked->second.request, asked->second.team,
                             grant.granted ? verdict::admitted : verdict::refused, now);
        told.retry_after = grant.retry_after;
        m_decisions.push_back(std::move(told));
        m_waiting.erase(asked);
    }
}

void rate_limiter::forget(std::uint64_t request)
{
    std::erase_if(m_waiting,
                  [&](const auto& item)
                  {
                      return item.second.request == request;
                  });
}

/// A report to a keeper that is gone by now, or whose answer was lost: what it told is told again.
void rate_limiter::send_again(time_point now)
{
    for (auto at = m_sent.begin(); at != m_sent.end();)
    {
        const auto current = at++;
        if (now - current->second.at < send_again_after)
        {
            continue;
        }
        for (const limit_use& used : current->second.used)
        {
            standing& item = m_teams[used.team];
            item.unanswered -= used.requests;
            item.unreported += used.requests;
        }
        m_sent.erase(current);
        want_report(now);
    }
}

void rate_limiter::on_time(time_point now)
{
    for (auto at = m_waiting.begin(); at != m_waiting.end();)
    {
        const auto current = at++;
        const waiting& item = current->second;
        if (now - item.since < answer_bound)
        {
            continue;
        }
        m_decisions.push_back(decide_alone(item.request, item.team, m_teams[item.team], now));
        m_waiting.erase(current);
    }
    send_again(now);
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
            report.used.push_back({name, item.unreported});
            item.unanswered += std::exchange(item.unreported, 0);
        }
    }
    for (auto& [number, item] : m_waiting)
    {
        if (!item.sent)
        {
            item.sent = true;
            report.asked.push_back({number, item.team});
        }
    }
    if (report.used.empty() && report.asked.empty())
    {
        return std::nullopt;
    }
    m_sent.emplace(report.number, sent_report{report.used, now});
    return report;
}

time_point rate_limiter::next_time() const noexcept
{
    time_point next = m_report_at;
    if (!m_waiting.empty())
    {
        // In the order of their arrival.
        next = std::min(next, m_waiting.begin()->second.since + answer_bound);
    }
    if (!m_sent.empty())
    {
        next = std::min(next, m_sent.begin()->second.at + send_again_after);
    }
    return next;
}

} // namespace flaxtiller
