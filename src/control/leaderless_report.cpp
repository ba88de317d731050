#include "leaderless_report.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <set>
#include <vector>

namespace flaxtiller::shell
{

namespace
{

/// Longer than the election of a successor takes.
constexpr duration line_interval = duration::from_ms(2000);

std::string text_of(const std::set<quorum::replica_name>& names)
{
    std::vector<std::string> texts;
    for (const quorum::replica_name& name : names)
    {
        texts.push_back(name.str());
    }
    return fmt::format("{}", fmt::join(texts, ","));
}

} // namespace

leaderless_report::leaderless_report(std::string log_name) : m_log_name(std::move(log_name))
{
}

time_point leaderless_report::since() const noexcept
{
    return m_since;
}

void leaderless_report::update(const quorum::replica* node, time_point now)
{
    if (node == nullptr || !node->leader().empty())
    {
        m_since = time_point::never();
        return;
    }
    if (m_since == time_point::never())
    {
        m_since = now;
        m_next_line_at = now + line_interval;
    }
    if (now < m_next_line_at)
    {
        return;
    }
    m_next_line_at = now + line_interval;
    const quorum::election_status election = node->election();
    log(log_level::warning, "leaderless",
        {{"log", m_log_name},
         {"for_ms", (now - m_since).ms()},
         {"term", node->term()},
         {"last_index", node->log().last_index()},
         {"is_voter", election.is_voter},
         {"lacks_committed_entries", election.lacks_committed_entries},
         {"awaits_earlier_lease", election.awaits_previous_lease_end},
         {"voters", election.voters},
         {"majority", election.majority},
         {"granted", text_of(election.granted)},
         {"refused", text_of(election.refused)}});
}

} // namespace flaxtiller::shell
