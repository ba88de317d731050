#include <flaxtiller/registration/pending_changes.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller
{

void pending_changes::add(const registration& change, time_point now)
{
    m_due_at = std::min(m_due_at, change.is_available() ? now + batch_window : now);
    m_changes.push_back(change);
}

void pending_changes::expedite(time_point now) noexcept
{
    m_due_at = m_changes.empty() ? m_due_at : std::min(m_due_at, now);
}

bool pending_changes::is_due(time_point now) const noexcept
{
    return m_due_at != time_point::never() && now >= std::max(m_due_at, m_paused_until);
}

std::vector<registration> pending_changes::take(duration pause, time_point now)
{
    m_due_at = time_point::never();
    m_paused_until = now + pause;
    return std::exchange(m_changes, {});
}

} // namespace flaxtiller
