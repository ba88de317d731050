#pragma once

#include <flaxtiller/core/shared_map.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/core/token_bucket.hpp>
#include <flaxtiller/teams/limit_message.hpp>
#include <flaxtiller/teams/team.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flaxtiller
{

/// @brief An entry's part in keeping the limits of teams over all entries; see @ref rate_ledger.
/// Deterministic.
///
/// A request of a team that is within its limit is admitted at once and reported to the control replica that
/// keeps the limits. One of a limited team waits for that replica's word. An entry that gets no answer goes
/// on for a moment with one request of each team, and after that with its part of the limit.
class rate_limiter
{
  public:
    /// An answer is awaited for this long: a way to another region and back, on a busy instance.
    static constexpr duration answer_timeout = duration::from_ms(150);
    /// Requests that share a report; a keeper that hears of them this much later still stops a flood in time.
    static constexpr duration report_batch_window = duration::from_ms(20);

    enum class verdict
    {
        admitted,
        refused,
        /// Wait for @ref take_decisions.
        awaiting_coordinator,
    };

    /// @brief What becomes of one request, and by what it was decided.
    struct decision
    {
        std::uint64_t request = 0;
        team_name team;
        verdict what = verdict::admitted;
        /// Of a refused one.
        duration retry_after{};
        /// Whether no keeper's word decided it, but this entry's part of the limit.
        bool decided_locally = false;
        /// How long ago the keeper was heard of.
        duration last_contact_ago{};

        bool operator==(const decision&) const = default;
    };

    /// @param teams those whose standing is kept
    /// @param entries the instances among which the limit is divided where no leader can be asked; 0 while
    /// that isn't known
    void configure(const shared_map<team_name, team>& teams, int entries);

    /// @brief A request of a team with a limit.
    decision admit(std::uint64_t request, const team& by, time_point now);

    /// @brief The replica that keeps the limits lives, as far as can be told without asking it.
    void on_coordinator_contact(time_point now) noexcept
    {
        m_last_contact_at = std::max(m_last_contact_at, now);
    }

    /// @brief That replica's word.
    void on_limit_update(const limit_update& update, time_point now);

    /// @brief Nobody waits for this request any more.
    void cancel_request(std::uint64_t request);

    /// @brief Time has passed.
    void on_time(time_point now);

    /// @return what became of requests that waited
    std::vector<decision> take_decisions();

    /// @return what is to be sent to the keeper now
    std::optional<limit_report> take_report(time_point now);

    /// @return when @ref on_time and @ref take_report are next needed
    time_point next_time() const noexcept;

    /// @return whether a report was left unanswered for too long
    bool is_coordinator_unavailable(time_point now) const noexcept;

  private:
    struct team_state
    {
        /// Admitted, and not known to the keeper yet: to be reported, and reported.
        std::int64_t unreported = 0;
        std::int64_t unacknowledged = 0;
        bool limited = false;
        time_point exhausted_until{};
        /// This entry's part of the limit.
        token_bucket local_share;
    };

    struct sent_report
    {
        std::vector<limit_usage> usage;
        time_point at;
    };

    struct waiting_request
    {
        std::uint64_t request = 0;
        team_name team;
        time_point since;
        bool sent = false;
    };

    std::int64_t max_unacknowledged(time_point now) const noexcept;
    void record_admitted(team_state& item, time_point now);
    void update_local_share(team_state& item, const rate_limit& limit, time_point now) const;
    decision decide_locally(std::uint64_t request, const team_name& team, team_state& item, time_point now);
    decision make_decision(std::uint64_t request, const team_name& team, verdict what, time_point now) const;
    void schedule_report(time_point at) noexcept;
    void resend_unacknowledged(time_point now);

    int m_entries = 0;
    std::map<team_name, team_state> m_teams;
    std::map<std::uint64_t, sent_report> m_sent;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::vector<decision> m_decisions;
    std::uint64_t m_next_report = 1;
    std::uint64_t m_next_ask = 1;
    time_point m_report_at = time_point::never();
    time_point m_last_contact_at{};
};

} // namespace flaxtiller
