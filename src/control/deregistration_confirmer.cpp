#include "deregistration_confirmer.hpp"

#include "process/log.hpp"
#include "process/system.hpp"

#include <fmt/format.h>

#include <utility>

namespace flaxtiller::shell
{

namespace
{

/// @return the names of the voters other than @a self
std::vector<std::string> other_voters(const quorum::member_set& members, const std::string& self)
{
    std::vector<std::string> others;
    for (const auto& [name, item] : members.members)
    {
        if (item.voter && name.str() != self)
        {
            others.push_back(name.str());
        }
    }
    return others;
}

} // namespace

deregistration_confirmer::deregistration_confirmer(peer_links& links, registration_file& file,
                                                   std::string self)
    : m_links(links), m_file(file), m_self(std::move(self)), m_confirmations(m_self, draw64())
{
}

void deregistration_confirmer::begin(const registration& known, const quorum::member_set& members,
                                     confirmation done, time_point now)
{
    const deregistration_number number = m_confirmations.begin(known.id, members, now);
    m_undecided.emplace(number, std::move(done));
    m_links.send(other_voters(members, m_self), registration_update{false, {known}, false, number});
    on_request(m_self, number, now);
}

void deregistration_confirmer::on_request(const std::string& from, deregistration_number number,
                                          time_point now)
{
    m_save_requests.push_back({from, number, m_file.append({}, unix_ms())});
    on_saved(now);
}

void deregistration_confirmer::on_saved(time_point now)
{
    const std::uint64_t saved = m_file.saved();
    std::map<std::string, registration_heard> answers;
    std::erase_if(m_save_requests,
                  [&](const save_request& item)
                  {
                      const bool is_saved = item.queued <= saved;
                      if (is_saved && item.from == m_self)
                      {
                          m_confirmations.on_saved(item.number, m_self);
                      }
                      else if (is_saved)
                      {
                          answers[item.from].saved.push_back(item.number);
                      }
                      return is_saved;
                  });
    for (const auto& [to, answer] : answers)
    {
        m_links.send(to, answer);
    }
    tick(now);
}

void deregistration_confirmer::on_saved_elsewhere(const std::string& replica,
                                                  const std::vector<deregistration_number>& numbers,
                                                  time_point now)
{
    for (const deregistration_number number : numbers)
    {
        m_confirmations.on_saved(number, replica);
    }
    tick(now);
}

void deregistration_confirmer::on_lost(const std::string& peer, time_point now)
{
    std::erase_if(m_save_requests,
                  [&](const save_request& item)
                  {
                      return item.from == peer;
                  });
    tick(now);
}

void deregistration_confirmer::tick(time_point now)
{
    if (m_confirmations.empty())
    {
        return;
    }
    for (const auto& decided : m_confirmations.take_decisions(m_links.reachable(), now))
    {
        log(decided.is_confirmed ? log_level::info : log_level::warning, "deregistration",
            {{"backend_server", decided.id.str()},
             {"confirmed", decided.is_confirmed},
             {"saved_by", fmt::format("{}", fmt::join(decided.saved_by, ","))},
             {"after_ms", decided.took.ms()}});
        const auto found = m_undecided.find(decided.number);
        const confirmation done = std::move(found->second);
        m_undecided.erase(found);
        done(decided.is_confirmed);
    }
}

} // namespace flaxtiller::shell
