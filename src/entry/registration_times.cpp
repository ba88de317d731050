#include "registration_times.hpp"

namespace flaxtiller::shell
{

void registration_times::on_changes(const std::vector<registration>& changes, time_point now)
{
    const std::scoped_lock lock(m_mutex);
    for (const registration& change : changes)
    {
        if (change.is_present())
        {
            m_changed_at.insert_or_assign(change.id, now);
        }
        else
        {
            m_changed_at.erase(change.id);
        }
    }
}

std::optional<duration> registration_times::age_of(const backend_server_name& server, time_point now) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_changed_at.find(server);
    return found == m_changed_at.end() ? std::nullopt : std::optional(now - found->second);
}

} // namespace flaxtiller::shell
