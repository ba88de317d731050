#include <flaxtiller/teams/rate_ledger.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

/// What may be sent beyond the limit is for reports and news on their way, which grow with the team's rate.
/// Of the fixed part this share is granted like the burst, lest a team of a request or two be limited by
/// each.
constexpr double granted_slack = 0.25;
/// Share of its tokens that a team has when its account begins.
constexpr double first_share = 0.25;
/// A team is limited until it has this share of its tokens again, lest all entries are told of it many times
/// a second.
constexpr double unlimited_share = 0.5;
/// What a caller is told when its team's tokens don't come back by themselves.
constexpr duration longest_retry = duration::from_ms(10000);

} // namespace

double rate_ledger::most_tokens(const rate_limit& limit) const noexcept
{
    return std::max((limit.burst + m_tolerance.slack * granted_slack) * m_share, 1.0);
}

void rate_ledger::bound(account& item, time_point now) const noexcept
{
    item.tokens.limit(item.limit.requests_per_s * m_share, most_tokens(item.limit), now);
}

rate_ledger::account rate_ledger::make_account(const rate_limit& limit, time_point now) const
{
    const double most = most_tokens(limit);
    account made;
    made.limit = limit;
    made.tokens = token_bucket(limit.requests_per_s * m_share, most, std::max(most * first_share, 1.0), now);
    return made;
}

void rate_ledger::configure(const shared_map<team_name, team>& teams, time_point now)
{
    if (teams.is_shared_with(m_teams))
    {
        return;
    }
    m_teams = teams;
    std::erase_if(m_accounts,
                  [&](const auto& item)
                  {
                      const auto found = teams.find(item.first);
                      return found == teams.end() || !found->second.limit.is_set();
                  });
    for (const auto& [name, item] : teams)
    {
        if (!item.limit.is_set())
        {
            continue;
        }
        const auto [known, fresh] = m_accounts.try_emplace(name, make_account(item.limit, now));
        account& own = known->second;
        if (!fresh && !(own.limit == item.limit))
        {
            own.limit = item.limit;
            bound(own, now);
            note_standing(name, own, now);
        }
    }
}

void rate_ledger::set_share(double share, time_point now)
{
    if (share == m_share)
    {
        return;
    }
    m_share = share;
    for (auto& [name, item] : m_accounts)
    {
        bound(item, now);
    }
}

void rate_ledger::restart(time_point now)
{
    m_news.clear();
    for (auto& [name, item] : m_accounts)
    {
        item = make_account(item.limit, now);
    }
}

void rate_ledger::note_standing(const team_name& name, account& item, time_point now)
{
    const double tokens = item.tokens.tokens(now);
    if (!item.limited && tokens < 1.0)
    {
        item.limited = true;
        m_news.insert(name);
    }
    else if (item.limited && tokens >= most_tokens(item.limit) * unlimited_share)
    {
        item.limited = false;
        m_news.erase(name);
    }
}

limit_standing rate_ledger::standing_of(const team_name& name, const account& item, time_point now) const
{
    const duration dry_for = item.limited ? item.tokens.until(1.0, now, longest_retry) : duration{};
    return {name, item.limited, std::min(dry_for, longest_retry)};
}

/// Callers that are sent away come back one after the other, as the limit lets them through.
limit_grant rate_ledger::decide(const limit_ask& asked, time_point now)
{
    const auto found = m_accounts.find(asked.team);
    if (found == m_accounts.end())
    {
        // No limit, or no longer.
        return {asked.number, true, {}};
    }
    account& item = found->second;
    if (item.tokens.take(now))
    {
        return {asked.number, true, {}};
    }
    constexpr double ms_per_s = 1000.0;
    const time_point first_back = now + item.tokens.until(1.0, now, longest_retry);
    const duration each = duration::from_ms(ms_per_s / item.limit.requests_per_s);
    const time_point last_back = now + longest_retry;
    const time_point back = std::min(std::max(first_back, item.promised_until), last_back);
    item.promised_until = std::min(back + each, last_back);
    return {asked.number, false, back - now};
}

limit_word rate_ledger::on_report(const limit_report& report, time_point now)
{
    limit_word word;
    word.number = report.number;
    std::set<team_name> named;
    for (const limit_use& used : report.used)
    {
        const auto found = m_accounts.find(used.team);
        if (found != m_accounts.end())
        {
            // What is older than the window doesn't count any more.
            const rate_limit& limit = found->second.limit;
            found->second.tokens.spend(static_cast<double>(std::max<std::int64_t>(used.requests, 0)),
                                       m_tolerance.allowed_of(limit), now);
            named.insert(used.team);
        }
    }
    for (const limit_ask& asked : report.asked)
    {
        word.grants.push_back(decide(asked, now));
        named.insert(asked.team);
    }
    for (const team_name& name : named)
    {
        const auto found = m_accounts.find(name);
        if (found == m_accounts.end())
        {
            word.standings.push_back({name, false, {}});
            continue;
        }
        note_standing(name, found->second, now);
        word.standings.push_back(standing_of(name, found->second, now));
    }
    return word;
}

limit_word rate_ledger::take_news(time_point now)
{
    limit_word word;
    for (const team_name& name : m_news)
    {
        const auto found = m_accounts.find(name);
        if (found != m_accounts.end())
        {
            word.standings.push_back(standing_of(name, found->second, now));
        }
    }
    m_news.clear();
    return word;
}

double rate_ledger::tokens(const team_name& team, time_point now) const
{
    const auto found = m_accounts.find(team);
    return found == m_accounts.end() ? 0.0 : found->second.tokens.tokens(now);
}

} // namespace flaxtiller
