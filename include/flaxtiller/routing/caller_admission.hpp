#pragma once

#include <flaxtiller/routing/absence_rule.hpp>
#include <flaxtiller/routing/load_options.hpp>
#include <flaxtiller/routing/router_action.hpp>
#include <flaxtiller/routing/routing_view.hpp>
#include <flaxtiller/teams/rate_limiter.hpp>
#include <flaxtiller/teams/retry_schedule.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flaxtiller
{

/// @brief Action: pass the request to the router.
struct admit_request
{
    request_number request = 0;
    std::shared_ptr<const routed_request> admitted;
};

/// @brief Action: refuse the request. No backend server has run it or will run it.
struct reject_request
{
    request_number request = 0;
    routed_outcome outcome;
    /// The rate limiter's decision; set if the request exceeded its team's limit.
    std::optional<rate_limiter::decision> over_limit;
};

/// @brief Action: send this usage report to the rate limit coordinator (a control replica).
struct send_limit_report
{
    limit_report report;
};

/// @brief Action: send this usage report to the witnesses (the other control replicas).
struct send_witness_report
{
    limit_report report;
};

using admission_action = std::variant<admit_request, reject_request, send_limit_report, send_witness_report>;

/// @brief Authenticates each caller's request and applies its team's rate limit, before the request is
/// routed.
///
/// Requests that another entry instance delegates to this one are not checked here: the delegating entry has
/// admitted them. The class is deterministic: it reads no clock and starts no I/O. Events go in through its
/// member functions, and @ref take_actions returns the actions to carry out.
class caller_admission
{
  public:
    /// @param load the switches; `spreads_returns` applies here
    /// @param first_number the number of the first report to the rate limit coordinator
    explicit caller_admission(const load_options& load = {}, std::uint64_t first_number = 1)
        : m_load(load), m_limiter(first_number)
    {
    }

    /// @brief Takes over a new configuration revision or a new number of entry instances. Requests that wait
    /// for the rate limit coordinator, and whose key was withdrawn, are refused as unauthorized.
    void configure(const routing_view& view);

    /// @brief Sets until when the active configuration counts as the present one. Later, requests with a key
    /// that it lacks are refused in place of being unauthorized.
    void set_confirmed_until(time_point until) noexcept
    {
        m_absence.set_confirmed_until(until);
    }

    /// @return the admitted requests whose keys the last revisions withdrew; each is returned once
    std::vector<request_number> take_withdrawn();

    /// @brief An admitted request was answered, or its caller closed the connection.
    void request_ended(request_number number)
    {
        m_keys.erase(number);
    }

    /// @brief A caller sent a request.
    /// @param key the API key that the caller presented; empty for none. Only its digest is stored.
    void arrive(request_number number, routed_request request, const std::string& key, time_point now);

    /// @brief The caller closed its connection; its request is dropped if it still awaits a decision.
    void caller_gone(request_number number);

    /// @brief The rate limit coordinator is known to be running, by other messages than its replies.
    void on_coordinator_contact(time_point now) noexcept
    {
        m_limiter.on_coordinator_contact(now);
    }

    /// @brief Another replica is the rate limit coordinator.
    /// @param was_witness whether it was sent the reports for witnesses
    void on_coordinator_changed(bool was_witness, time_point now)
    {
        m_limiter.on_coordinator_changed(was_witness, now);
    }

    /// @brief A message to all entries was received from a replica that this entry doesn't know as the rate
    /// limit coordinator.
    void on_other_limit_update(const limit_update& update, time_point now)
    {
        m_limiter.on_other_limit_update(update, now);
    }

    /// @brief A reply of the rate limit coordinator was received.
    void on_limit_update(const limit_update& word, time_point now);

    /// @brief Handles everything that is due at @a now.
    void on_time(time_point now);

    /// @return the actions to carry out now, in this order
    std::vector<admission_action> take_actions(time_point now);

    /// @return the time at which @ref on_time must be called next
    time_point next_time() const noexcept
    {
        return m_limiter.next_time();
    }

    /// @brief Numbers of requests of one team since the start of the process.
    struct counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t over_limit = 0;

        bool operator==(const counts&) const = default;
    };

    /// @return the counters of each declared team
    const std::map<team_name, counts>& counted() const noexcept
    {
        return m_counted;
    }

  private:
    void admit(request_number number, routed_request request);
    void reject(request_number number, routed_outcome result, const std::string& route,
                std::optional<rate_limiter::decision> over_limit = std::nullopt);
    void apply(const rate_limiter::decision& limiter_decision, routed_request request,
               const std::string& route, time_point now);
    duration retry_after_of(const rate_limiter::decision& refused, time_point now);
    void withdraw_keys(const team_table& earlier);

    /// The digest of a request's key, and the team that held the key at arrival.
    struct presented_key
    {
        team_name holder;
        key_digest digest;
    };

    struct held_request
    {
        routed_request request;
        std::string route;
        time_point since;
    };

    load_options m_load;
    absence_rule m_absence;
    retry_schedule m_retry_schedule;
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const team_table> m_teams;
    std::int64_t m_revision = 0;
    rate_limiter m_limiter;
    /// Requests that wait for a reply of the rate limit coordinator.
    std::unordered_map<request_number, held_request> m_held;
    /// The keys of requests that wait for the coordinator, and of admitted ones that have no answer yet.
    std::unordered_map<request_number, presented_key> m_keys;
    std::vector<request_number> m_withdrawn;
    std::map<team_name, counts> m_counted;
    std::vector<admission_action> m_actions;
};

} // namespace flaxtiller
