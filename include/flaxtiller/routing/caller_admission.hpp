#pragma once

#include <flaxtiller/routing/router_action.hpp>
#include <flaxtiller/routing/routing_view.hpp>
#include <flaxtiller/teams/rate_limiter.hpp>

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

/// @brief Give the request to the router.
struct admit_request
{
    request_number request = 0;
    std::shared_ptr<const routed_request> admitted;
};

/// @brief Refuse the request; it was not run and never will be.
struct turn_away_request
{
    request_number request = 0;
    routed_outcome outcome;
    /// Of a request over its team's limit: what decided it.
    std::optional<rate_limiter::decision> over_limit;
};

/// @brief Send this to the control replica that keeps the limits.
struct report_use
{
    limit_report report;
};

using admission_action = std::variant<admit_request, turn_away_request, report_use>;

/// @brief Decides of each caller's request, before anything else of it is decided, whose it is and whether
/// its team may send it now. What other entries ask for was admitted there. Deterministic.
class caller_admission
{
  public:
    /// @brief Another revision.
    void configure(const routing_view& view);

    /// @brief A caller asks.
    /// @param key as it shows it; empty for none. It is not kept.
    void arrive(request_number number, routed_request request, const std::string& key, time_point now);

    /// @brief A caller went away.
    void caller_gone(request_number number);

    /// @brief The control replica that keeps the limits lives.
    void on_coordinator_contact(time_point now) noexcept
    {
        m_limiter.on_coordinator_contact(now);
    }

    /// @brief That replica's word.
    void on_limit_word(const limit_update& word, time_point now);

    /// @brief Time has passed.
    void on_time(time_point now);

    /// @return what must be done now, in this order
    std::vector<admission_action> take_actions(time_point now);

    /// @return when @ref on_time is next needed
    time_point next_time() const noexcept
    {
        return m_limiter.next_time();
    }

    /// @brief Requests of one team since the beginning.
    struct counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t over_limit = 0;

        bool operator==(const counts&) const = default;
    };

    /// @return what became of the requests of each team that is declared
    const std::map<team_name, counts>& counted() const noexcept
    {
        return m_counted;
    }

  private:
    void admit(request_number number, routed_request request);
    void turn_away(request_number number, routed_end end, const std::string& route,
                   std::optional<rate_limiter::decision> over_limit = std::nullopt);
    void take(const rate_limiter::decision& made, routed_request request, const std::string& route);

    struct held_request
    {
        routed_request request;
        std::string route;
        time_point since;
    };

    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const team_table> m_teams;
    std::int64_t m_revision = 0;
    rate_limiter m_limiter;
    /// Requests that wait for that replica's word.
    std::unordered_map<request_number, held_request> m_held;
    std::map<team_name, counts> m_counted;
    std::vector<admission_action> m_actions;
};

} // namespace flaxtiller
