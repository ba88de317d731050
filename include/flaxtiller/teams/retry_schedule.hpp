#pragma once

#include <flaxtiller/core/duration.hpp>
#include <flaxtiller/core/identifier.hpp>
#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/teams/rate_limit.hpp>

#include <cstdint>
#include <map>

namespace flaxtiller
{

/// @brief Assigns different retry times to the requests of a team that are refused together, spaced at the
/// rate at which the limit of the team admits requests. Deterministic.
class retry_schedule
{
  public:
    /// The longest retry time, unless the limit admits no request until later.
    static constexpr duration max_retry_after = duration::from_ms(10000);

    /// @brief Assigns the time for one refused request.
    /// @param team the team of the request
    /// @param limit the limit of the team
    /// @param earliest the time until the limit may have room, as the decision states it
    /// @param now the current time
    /// @return the time after which the caller may return; at least @a earliest
    duration assign(const team_name& team, const rate_limit& limit, duration earliest, time_point now);

    /// @brief Removes the teams whose assigned times have all passed.
    void discard_passed(time_point now);

    /// @return the number of teams with assigned times
    std::size_t size() const noexcept
    {
        return m_teams.size();
    }

  private:
    struct assigned
    {
        /// The earliest time that is not assigned yet.
        time_point next{};
        /// The number of times assigned beyond @ref max_retry_after.
        std::uint64_t beyond = 0;
    };

    std::map<team_name, assigned> m_teams;
};

} // namespace flaxtiller
