#include "register_client.hpp"

#include <utility>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>

namespace flaxtiller::shell
{

register_client::register_client(boost::asio::io_context& io, peer_links& links,
                                 std::vector<std::string> replicas)
    : m_links(links), m_replicas(std::move(replicas)), m_strand(boost::asio::make_strand(io)),
      m_timer(m_strand)
{
}

void register_client::set_replicas(std::vector<std::string> replicas)
{
    boost::asio::post(m_strand,
                      [this, replicas = std::move(replicas)]() mutable
                      {
                          m_replicas = std::move(replicas);
                      });
}

bool register_client::asks(const std::string& replica) const
{
    return std::find(m_replicas.begin(), m_replicas.end(), replica) != m_replicas.end();
}

std::string register_client::replica_after(const std::string& replica) const
{
    if (m_replicas.empty())
    {
        return {};
    }
    const auto found = std::find(m_replicas.begin(), m_replicas.end(), replica);
    const bool is_last = found == m_replicas.end() || std::next(found) == m_replicas.end();
    return is_last ? m_replicas.front() : *std::next(found);
}

void register_client::call(const register_command& command, duration time_limit, completion done)
{
    boost::asio::post(m_strand,
                      [this, command, time_limit, done = std::move(done)]() mutable
                      {
                          const time_point now = m_clock.now();
                          const std::uint64_t number = m_next_number++;
                          const std::string first = asks(m_leader) ? m_leader : replica_after({});
                          pending_call added{command, std::move(done), now + time_limit, now, first};
                          auto& item = m_calls.emplace(number, std::move(added)).first->second;
                          send(number, item);
                          schedule_check();
                      });
}

void register_client::send(std::uint64_t number, pending_call& item)
{
    item.sent_at = m_clock.now();
    m_links.send(item.replica, register_call{number, item.command});
}

void register_client::on_return(const std::string& from, const register_return& returned)
{
    boost::asio::post(m_strand,
                      [this, from, returned]
                      {
                          const auto found = m_calls.find(returned.number);
                          if (found == m_calls.end() || found->second.replica != from)
                          {
                              return;
                          }
                          if (!returned.leads)
                          {
                              // The next check sends the command to another replica. Sending at once would
                              // flood the replicas while the register has no leader.
                              return;
                          }
                          m_leader = found->second.replica;
                          const completion done = std::move(found->second.done);
                          m_calls.erase(found);
                          done(returned.reply);
                      });
}

void register_client::schedule_check()
{
    if (m_checking || m_calls.empty())
    {
        return;
    }
    m_checking = true;
    m_timer.expires_after(std::chrono::microseconds(check_interval.us()));
    m_timer.async_wait(
        [this](const boost::system::error_code& error)
        {
            m_checking = false;
            if (!error)
            {
                check();
                schedule_check();
            }
        });
}

void register_client::check()
{
    const time_point now = m_clock.now();
    for (auto item = m_calls.begin(); item != m_calls.end();)
    {
        pending_call& pending = item->second;
        if (now >= pending.deadline)
        {
            const completion done = std::move(pending.done);
            item = m_calls.erase(item);
            done(register_reply{});
            continue;
        }
        if (now - pending.sent_at >= replica_timeout)
        {
            pending.replica = replica_after(pending.replica);
            send(item->first, pending);
        }
        ++item;
    }
}

} // namespace flaxtiller::shell
