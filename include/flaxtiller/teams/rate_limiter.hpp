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

/// @brief Enforces the limits of teams on an entry, together with the rate limit coordinator. Deterministic.
///
/// The rate limit coordinator is the control replica that accounts for the requests of all entries; see
/// @ref rate_limit_coordinator. A request of a team within its limit is admitted immediately and reported to
/// the coordinator. A request of a limited team waits for the decision of the coordinator. Without an answer,
/// the entry admits one further request of each team for a short time, and after that applies its local share
/// of the limit.
///
/// The other control replicas are witnesses: they account for teams that could exceed their limits in that
/// time, and notify the entries when such a limit is used up. They grant nothing.
class rate_limiter
{
  public:
    /// The time-out for an answer of the coordinator. It covers a round trip to another region on a busy
    /// instance.
    static constexpr duration answer_timeout = duration::from_ms(150);
    /// Requests within this time share a report. The delay is short enough for the coordinator to limit a
    /// flood in time.
    static constexpr duration report_batch_window = duration::from_ms(20);

    enum class verdict
    {
        admitted,
        refused,
        /// The request waits for the coordinator; @ref take_decisions returns the decision.
        awaiting_coordinator,
    };

    /// @brief The decision on one request, and its basis.
    struct decision
    {
        std::uint64_t request = 0;
        team_name team;
        verdict what = verdict::admitted;
        /// Applies to refused requests.
        duration retry_after{};
        /// Whether the local share of the limit was the basis, not the coordinator.
        bool decided_locally = false;
        /// The time since the last contact with the coordinator.
        duration last_contact_ago{};
        /// Whether the team was known to have used up its limit.
        bool limited = false;
        /// The requests of the team that the coordinator had not acknowledged.
        std::int64_t unacknowledged = 0;

        bool operator==(const decision&) const = default;
    };

    /// @param first_report the number of the first report; greater than 0
    explicit rate_limiter(std::uint64_t first_report = 1) noexcept : m_next_report(first_report)
    {
    }

    /// @brief Sets the teams and the number of entries.
    /// @param teams the teams whose state is kept
    /// @param entries the number of instances among which the limit is divided while the coordinator is
    /// unavailable; 0 if unknown
    void configure(const shared_map<team_name, team>& teams, int entries);

    /// @brief Decides on a request of a team that has a limit.
    decision admit(std::uint64_t request, const team& by, time_point now);

    /// @brief Records a sign that the coordinator is available, other than an answer to a report.
    void on_coordinator_contact(time_point now) noexcept
    {
        m_last_contact_at = std::max(m_last_contact_at, now);
    }

    /// @brief Another replica is the coordinator. It receives what its predecessor has not acknowledged.
    /// Until it has notified the entries, it decides on the first request of each team, since the status of
    /// the teams there is unknown.
    /// @param was_witness whether the replica was sent the witness reports, so that it knows their usage
    void on_coordinator_changed(bool was_witness, time_point now);

    /// @brief Handles a message of the coordinator.
    void on_limit_update(const limit_update& update, time_point now);

    /// @brief Handles a message to all entries from a replica that this entry doesn't know as the
    /// coordinator, which may be its successor: limited teams need a decision, nothing else is changed.
    void on_other_limit_update(const limit_update& update, time_point now);

    /// @brief Discards a request that no longer needs a decision.
    void cancel_request(std::uint64_t request);

    /// @brief Handles expired time-outs.
    void on_time(time_point now);

    /// @brief Removes and returns the decisions on requests that waited.
    std::vector<decision> take_decisions();

    /// @return the report to send to the coordinator now, if any
    std::optional<limit_report> take_report(time_point now);

    /// @return the report to send to the witnesses now, if any: the admitted requests of teams whose flood
    /// could pass through entries that have no answer of the coordinator yet. It is sent once, and has no
    /// answer.
    std::optional<limit_report> take_witness_report(time_point now);

    /// @return the time of the next call of @ref on_time, @ref take_report and @ref take_witness_report that
    /// is needed
    time_point next_time() const noexcept;

    /// @return whether the answer to a report is overdue
    bool is_coordinator_unavailable(time_point now) const noexcept;

  private:
    struct team_state
    {
        /// The admitted requests that still have to be reported, and those reported without an answer yet.
        std::int64_t unreported = 0;
        std::int64_t unacknowledged = 0;
        /// The admitted requests that still have to be reported to the witnesses.
        std::int64_t unwitnessed = 0;
        bool limited = false;
        /// The value of @ref m_coordinators when the status was received.
        std::uint64_t status_from = 0;
        time_point exhausted_until{};
        /// The share of the limit that this entry applies while the coordinator is unavailable. In a large
        /// fleet, requests without an acknowledgement are taken from it.
        token_bucket local_share;
        bool counts_unacknowledged = false;
        /// Whether a flood of the team could use up the tolerance with one request of each entry.
        bool exceeds_by_one_each = false;
        /// Whether the witnesses account for the team.
        bool is_witnessed = false;
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
        /// The number of answers that were waited for in vain.
        int unanswered = 0;
    };

    std::int64_t max_unacknowledged(const team_state& item, time_point now) const noexcept;
    static void set_limited(team_state& item, time_point now);
    duration contact_is_recent_for(const team_state& item) const noexcept;
    duration max_brief_outage() const noexcept;
    void record_admitted(team_state& item, time_point now);
    void record_for_witnesses(team_state& item, time_point now);
    void update_local_share(team_state& item, const rate_limit& limit, time_point now) const;
    bool may_admit_unacknowledged(const team_state& item, std::int64_t max_requests,
                                  time_point now) const noexcept;
    void admit_unacknowledged(team_state& item, time_point now);
    void on_unanswered(waiting_request waiting, time_point now);
    decision decide_locally(std::uint64_t request, const team_name& team, team_state& item, time_point now);
    decision make_decision(std::uint64_t request, const team_name& team, verdict what, time_point now) const;
    void schedule_report(time_point at) noexcept;
    void resend_unacknowledged(time_point now);
    void resend(const sent_report& report);
    void drop_witnessed(sent_report& report);

    int m_entries = 0;
    std::map<team_name, team_state> m_teams;
    std::map<std::uint64_t, sent_report> m_sent;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::vector<decision> m_decisions;
    std::uint64_t m_next_report;
    std::uint64_t m_next_ask = 1;
    /// The number of changes of the coordinator.
    std::uint64_t m_coordinators = 0;
    time_point m_coordinator_changed_at = time_point() - duration::from_ms(3600000);
    time_point m_report_at = time_point::never();
    time_point m_witness_report_at = time_point::never();
    time_point m_last_contact_at{};
};

} // namespace flaxtiller
