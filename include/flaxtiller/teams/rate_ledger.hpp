#pragma once

#include <flaxtiller/core/shared_map.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/core/token_bucket.hpp>
#include <flaxtiller/teams/limit_message.hpp>
#include <flaxtiller/teams/team.hpp>

#include <map>
#include <set>

namespace flaxtiller
{

/// @brief A control replica's account of what each team sends through all entries together. Deterministic.
///
/// While a team stays within its limit its requests wait for nobody: entries admit them and report what they
/// admitted. Once its tokens are used up the replica tells all entries, and each further request is asked
/// for, so that the sum keeps to the limit whichever entries the team's callers reach. See @ref rate_limiter.
///
/// It answers a team that sends many times its usual through all entries at once. Shares that are handed out
/// beforehand would be less than one request an entry there.
class rate_ledger
{
  public:
    explicit rate_ledger(rate_tolerance tolerance) : m_tolerance(tolerance)
    {
    }

    /// @brief Another revision's limits. What a team has used stays.
    void configure(const shared_map<team_name, team>& teams, time_point now);

    /// @brief This replica begins to keep the limits: what was used before isn't known, so that no team
    /// begins with all its tokens.
    void restart(time_point now);

    /// @brief Keeps only this share of each limit from now on, as only some of the entries can reach this
    /// replica.
    void set_share(double share, time_point now);

    /// @brief An entry's report.
    /// @return the answer to it
    limit_word on_report(const limit_report& report, time_point now);

    /// @return the teams that used up their limit since the last call, to be told to all entries
    limit_word take_news(time_point now);

    /// @return whether @ref take_news has any
    bool has_news() const noexcept
    {
        return !m_news.empty();
    }

    /// @return the tokens that a team has; negative while it is in debt
    double tokens(const team_name& team, time_point now) const;

  private:
    struct account
    {
        rate_limit limit;
        token_bucket tokens;
        bool limited = false;
        /// Callers that were sent away so far may be back until then.
        time_point promised_until{};
    };

    account make_account(const rate_limit& limit, time_point now) const;
    double most_tokens(const rate_limit& limit) const noexcept;
    void bound(account& item, time_point now) const noexcept;
    void note_standing(const team_name& name, account& item, time_point now);
    limit_standing standing_of(const team_name& name, const account& item, time_point now) const;
    limit_grant decide(const limit_ask& asked, time_point now);

    const rate_tolerance m_tolerance;
    double m_share = 1.0;
    shared_map<team_name, team> m_teams;
    std::map<team_name, account> m_accounts;
    std::set<team_name> m_news;
};

} // namespace flaxtiller
