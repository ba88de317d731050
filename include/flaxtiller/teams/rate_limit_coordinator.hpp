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

/// @brief Accounts for the requests that each team sends through all entries together, on the control replica
/// that enforces the limits. Deterministic.
///
/// The requests of a team within its limit are not delayed: entries admit them and report the number of
/// admitted requests, which this class takes from a token bucket per team. When the tokens of a team are used
/// up, the replica notifies all entries, and each further request needs a decision of this replica. The sum
/// of the requests therefore stays within the limit, whichever entries the callers of the team reach.
/// @ref rate_limiter is the counterpart on an entry.
///
/// A fixed share of the limit per entry isn't an alternative: with many entries it would be less than one
/// request per entry, while a team may send many times its usual rate through all entries at once.
class rate_limit_coordinator
{
  public:
    explicit rate_limit_coordinator(rate_tolerance tolerance) : m_tolerance(tolerance)
    {
    }

    /// @brief Sets the limits of another revision. Tokens that a team has used stay used.
    void configure(const shared_map<team_name, team>& teams, time_point now);

    /// @brief Resets all accounts when this replica becomes the rate limit coordinator. The previous usage is
    /// unknown but for what was reported to this replica as a witness, so that no team starts with all its
    /// tokens, or with more than its account has.
    void restart(time_point now);

    /// @brief Reduces each limit to a share, for a replica that only some of the entries can reach.
    void set_limit_share(double share, time_point now);

    /// @brief Handles the report of an entry.
    /// @return the answer to the report
    limit_update on_report(const limit_report& report, time_point now);

    /// @brief Removes and returns the teams that used up their limit since the last call, as a message to all
    /// entries.
    limit_update take_status_updates(time_point now);

    /// @return whether @ref take_status_updates would return any team
    bool has_status_updates() const noexcept
    {
        return !m_changed_statuses.empty();
    }

    /// @return the tokens of a team; negative if the team sent more requests than its limit allows
    double tokens(const team_name& team, time_point now) const;

  private:
    struct account
    {
        rate_limit limit;
        token_bucket tokens;
        bool limited = false;
        /// The earliest retry time for the next refused request. Earlier times are assigned to requests that
        /// were refused before.
        time_point next_retry_at{};
    };

    account make_account(const rate_limit& limit, time_point now) const;
    double max_tokens(const rate_limit& limit) const noexcept;
    void apply_limit(account& item, time_point now) const noexcept;
    void update_status(const team_name& name, account& item, time_point now);
    limit_status status_of(const team_name& name, const account& item, time_point now) const;
    limit_decision decide(const limit_request& request, time_point now);

    rate_tolerance m_tolerance;
    double m_limit_share = 1.0;
    shared_map<team_name, team> m_teams;
    std::map<team_name, account> m_accounts;
    std::set<team_name> m_changed_statuses;
};

} // namespace flaxtiller
