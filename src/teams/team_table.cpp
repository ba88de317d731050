#include <flaxtiller/teams/team_table.hpp>

#include <utility>

namespace flaxtiller
{

team_table::team_table(const shared_map<team_name, team>& teams, std::string secret)
    : m_teams(teams), m_secret(std::move(secret))
{
    for (const auto& [name, item] : m_teams)
    {
        for (const key_digest& key : item.key_digests)
        {
            m_by_key.emplace(key, &item);
        }
    }
}

const team* team_table::find(const team_name& name) const
{
    const auto found = m_teams.find(name);
    return found == m_teams.end() ? nullptr : &found->second;
}

const team* team_table::holder_of(const key_digest& key) const
{
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

const team* team_table::find_by_key(std::string_view key) const
{
    return holder_of(key_digest(m_secret, key));
}

bool team_table::is_withdrawn(const team_name& holder, const key_digest& key, const team_table& earlier) const
{
    if (m_teams.empty() || m_secret != earlier.m_secret)
    {
        return false;
    }
    const team* present = holder_of(key);
    return present == nullptr || present->name != holder;
}

authentication team_table::authenticate(const route* by, std::string_view key) const
{
    if (m_teams.empty())
    {
        return {};
    }
    if (key.empty())
    {
        return {nullptr, by != nullptr && by->allows_anonymous, {}};
    }
    const key_digest digest(m_secret, key);
    const team* holder = holder_of(digest);
    return {holder, holder != nullptr, digest};
}

} // namespace flaxtiller
