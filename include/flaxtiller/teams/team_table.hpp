#pragma once

#include <flaxtiller/core/shared_map.hpp>
#include <flaxtiller/routing/route.hpp>
#include <flaxtiller/teams/team.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace flaxtiller
{

/// @brief Who a caller is, by the key that it shows.
struct authentication
{
    /// Null for an anonymous caller.
    const team* by = nullptr;
    bool is_authorized = true;
};

/// @brief The teams of one revision, found by name and by key. Immutable.
class team_table
{
  public:
    team_table() = default;

    /// @param secret see @ref key_digest
    team_table(const shared_map<team_name, team>& teams, std::string secret);

    // Holds pointers into its own map.
    team_table(const team_table&) = delete;
    team_table& operator=(const team_table&) = delete;
    ~team_table() = default;

    /// @return the team, or null where there is none of this name
    const team* find(const team_name& name) const;

    /// @return the team that holds this key, or null
    const team* find_by_key(std::string_view key) const;

    /// @brief Decides who asks.
    ///
    /// Without any team nobody needs a key. A key that no team holds is refused also where none is needed:
    /// it was withdrawn, or belongs elsewhere.
    /// @param by the request's route; null where none fits, which needs a key as most routes do
    /// @param key as the caller shows it; empty for none
    authentication authenticate(const route* by, std::string_view key) const;

    const shared_map<team_name, team>& teams() const noexcept
    {
        return m_teams;
    }

  private:
    shared_map<team_name, team> m_teams;
    std::string m_secret;
    std::unordered_map<key_digest, const team*> m_by_key;
};

} // namespace flaxtiller
