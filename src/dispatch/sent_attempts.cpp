#include <flaxtiller/dispatch/sent_attempts.hpp>

#include <algorithm>

namespace flaxtiller::dispatch
{

void sent_attempts::add(const backend_server_name& server)
{
    m_servers.push_back(server);
}

void sent_attempts::remove_unsent(const backend_server_name& server)
{
    const auto last = std::find(m_servers.rbegin(), m_servers.rend(), server);
    if (last != m_servers.rend())
    {
        m_servers.erase(std::prev(last.base()));
    }
}

void sent_attempts::add_refusal() noexcept
{
    ++m_refused;
}

bool sent_attempts::includes(const backend_server_name& server) const
{
    return std::find(m_servers.begin(), m_servers.end(), server) != m_servers.end();
}

bool sent_attempts::may_send_to(const backend_server_name& server, int most_servers,
                                const backend_server_name& designated) const
{
    if (!designated.empty() && server != designated && includes_other_than(server, designated))
    {
        return false;
    }
    return most_servers == 0 || includes(server) || count_servers() < most_servers;
}

bool sent_attempts::has_attempts_left(int most_run, int most_sent) const noexcept
{
    const int sent = static_cast<int>(m_servers.size());
    return sent < most_sent && (most_run == 0 || sent - m_refused < most_run);
}

bool sent_attempts::includes_other_than(const backend_server_name& server,
                                        const backend_server_name& designated) const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [&](const backend_server_name& sent)
                       {
                           return sent != server && sent != designated;
                       });
}

int sent_attempts::count_servers() const
{
    int different = 0;
    for (auto server = m_servers.begin(); server != m_servers.end(); ++server)
    {
        different += std::find(m_servers.begin(), server, *server) == server ? 1 : 0;
    }
    return different;
}

} // namespace flaxtiller::dispatch
