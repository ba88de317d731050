#pragma once

#include <flaxtiller/core/shared_map.hpp>
#include <flaxtiller/routing/route.hpp>
#include <flaxtiller/teams/team.hpp>

#include <string>
#include <string_view>
#include <unordered_map>

namespace flaxtiller
{

/// @brief The identity of a caller, determined by its key.
struct authentication
{
    /// The team of the caller; null for an anonymous caller.
    const team* by = nullptr;
    bool is_authorized = true;
    /// The digest of the caller's key; set if @ref by is.
    key_digest key{};
};

/// @brief An immutable index of the teams of one revision by name and by key.
class team_table
{
  public:
    team_table() = default;

    /// @param secret the secret of the key digests; see @ref key_digest
    team_table(const shared_map<team_name, team>& teams, std::string secret);

    // The key index points into the map of this object.
    team_table(const team_table&) = delete;
    team_table& operator=(const team_table&) = delete;
    ~team_table() = default;

    /// @return the team with this name, or null
    const team* find(const team_name& name) const;

    /// @return the team that holds this key, or null
    const team* find_by_key(std::string_view key) const;

    /// @return whether a team no longer holds a key that an earlier revision gave it; false if the digests of
    /// both revisions can't be compared
    /// @param earlier the table by which the key was found
    bool is_withdrawn(const team_name& holder, const key_digest& key, const team_table& earlier) const;

    /// @brief Identifies and authorizes a caller.
    ///
    /// If no team is configured, no request needs a key. A key that no team holds is refused even on routes
    /// that allow anonymous callers, since the key was withdrawn or belongs to another system.
    /// @param by the route of the request; null if no route matches, in which case a key is required
    /// @param key the key as the caller sent it; empty for none
    authentication authenticate(const route* by, std::string_view key) const;

    const shared_map<team_name, team>& teams() const noexcept
    {
        return m_teams;
    }

  private:
    const team* holder_of(const key_digest& key) const;

    shared_map<team_name, team> m_teams;
    std::string m_secret;
    std::unordered_map<key_digest, const team*> m_by_key;
};

} // namespace flaxtiller
