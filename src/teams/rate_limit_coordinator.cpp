#include <flaxtiller/teams/rate_limit_coordinator.hpp>

#include <algorithm>

namespace flaxtiller
{

namespace
{

/// The part of the fixed slack of the tolerance that is added to the burst. Without it, each request would
/// exhaust a limit of one or two requests. The rest of the tolerance is reserved for requests that entries
/// admit while reports and updates are in transit, which grow with the rate of the team.
constexpr double slack_in_bucket = 0.25;
/// The share of its tokens that a team has when its account is created. Entries report to a new coordinator
/// what its predecessor did not acknowledge, so that this share is not granted in addition to it.
constexpr double initial_token_share = 0.3;
/// A team stays limited until it has this share of its tokens again. A lower share would change the status,
/// and notify all entries, many times per second.
constexpr double recovered_token_share = 0.5;
/// The longest retry time reported to a caller, also if the tokens of its team never return.
constexpr duration max_retry_after = duration::from_ms(10000);

} // namespace

double rate_limit_coordinator::max_tokens(const rate_limit& limit) const noexcept
{
    return std::max((limit.burst + m_tolerance.slack * slack_in_bucket) * m_limit_share, 1.0);
}

void rate_limit_coordinator::apply_limit(account& item, time_point now) const noexcept
{
    item.tokens.limit(item.limit.requests_per_s * m_limit_share, max_tokens(item.limit), now);
}

rate_limit_coordinator::account rate_limit_coordinator::make_account(const rate_limit& limit,
                                                                     time_point now) const
{
    const double capacity = max_tokens(limit);
    account created;
    created.limit = limit;
    created.tokens = token_bucket(limit.requests_per_s * m_limit_share, capacity,
                                  std::max(capacity * initial_token_share, 1.0), now);
    return created;
}

void rate_limit_coordinator::configure(const shared_map<team_name, team>& teams, time_point now)
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
        const auto [entry, is_new] = m_accounts.try_emplace(name, make_account(item.limit, now));
        account& existing = entry->second;
        if (!is_new && !(existing.limit == item.limit))
        {
            existing.limit = item.limit;
            apply_limit(existing, now);
            update_status(name, existing, now);
        }
    }
}

void rate_limit_coordinator::set_limit_share(double share, time_point now)
{
    if (share == m_limit_share)
    {
        return;
    }
    m_limit_share = share;
    for (auto& [name, item] : m_accounts)
    {
        apply_limit(item, now);
    }
}

void rate_limit_coordinator::restart(time_point now)
{
    m_changed_statuses.clear();
    for (auto& [name, item] : m_accounts)
    {
        account restarted = make_account(item.limit, now);
        const double excess = restarted.tokens.tokens(now) - item.tokens.tokens(now);
        restarted.tokens.spend(std::max(excess, 0.0), m_tolerance.limit_per_window(item.limit), now);
        item = restarted;
        update_status(name, item, now);
    }
}

void rate_limit_coordinator::update_status(const team_name& name, account& item, time_point now)
{
    const double tokens = item.tokens.tokens(now);
    if (!item.limited && tokens < 1.0)
    {
        item.limited = true;
        m_changed_statuses.insert(name);
    }
    else if (item.limited && tokens >= max_tokens(item.limit) * recovered_token_share)
    {
        item.limited = false;
        m_changed_statuses.erase(name);
    }
}

limit_status rate_limit_coordinator::status_of(const team_name& name, const account& item,
                                               time_point now) const
{
    const duration exhausted_for = item.limited ? item.tokens.until(1.0, now, max_retry_after) : duration{};
    return {name, item.limited, std::min(exhausted_for, max_retry_after)};
}

/// Refused requests are assigned successive retry times, spaced by the rate of the limit.
limit_decision rate_limit_coordinator::decide(const limit_request& request, time_point now)
{
    const auto found = m_accounts.find(request.team);
    if (found == m_accounts.end())
    {
        // The team has no limit, or its limit was removed.
        return {request.number, true, {}};
    }
    account& item = found->second;
    if (item.tokens.take(now))
    {
        return {request.number, true, {}};
    }
    constexpr double ms_per_s = 1000.0;
    const time_point first_retry = now + item.tokens.until(1.0, now, max_retry_after);
    const duration interval = duration::from_ms(ms_per_s / item.limit.requests_per_s);
    const time_point last_retry = now + max_retry_after;
    const time_point retry_at = std::min(std::max(first_retry, item.next_retry_at), last_retry);
    item.next_retry_at = std::min(retry_at + interval, last_retry);
    return {request.number, false, retry_at - now};
}

limit_update rate_limit_coordinator::on_report(const limit_report& report, time_point now)
{
    limit_update update;
    update.number = report.number;
    std::set<team_name> mentioned_teams;
    for (const limit_usage& usage : report.usage)
    {
        const auto found = m_accounts.find(usage.team);
        if (found != m_accounts.end())
        {
            // The debt is bounded by the usage of one window, as earlier usage no longer counts.
            const rate_limit& limit = found->second.limit;
            found->second.tokens.spend(static_cast<double>(std::max<std::int64_t>(usage.requests, 0)),
                                       m_tolerance.limit_per_window(limit), now);
            mentioned_teams.insert(usage.team);
        }
    }
    for (const limit_request& request : report.pending_requests)
    {
        update.request_decisions.push_back(decide(request, now));
        mentioned_teams.insert(request.team);
    }
    for (const team_name& name : mentioned_teams)
    {
        const auto found = m_accounts.find(name);
        if (found == m_accounts.end())
        {
            update.statuses.push_back({name, false, {}});
            continue;
        }
        update_status(name, found->second, now);
        update.statuses.push_back(status_of(name, found->second, now));
    }
    return update;
}

limit_update rate_limit_coordinator::take_status_updates(time_point now)
{
    limit_update update;
    for (const team_name& name : m_changed_statuses)
    {
        const auto found = m_accounts.find(name);
        if (found != m_accounts.end())
        {
            update.statuses.push_back(status_of(name, found->second, now));
        }
    }
    m_changed_statuses.clear();
    return update;
}

double rate_limit_coordinator::tokens(const team_name& team, time_point now) const
{
    const auto found = m_accounts.find(team);
    return found == m_accounts.end() ? 0.0 : found->second.tokens.tokens(now);
}

} // namespace flaxtiller
