#include <flaxtiller/distribution/replica_discovery.hpp>

#include <flaxtiller/core/hash.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace flaxtiller::distribution
{

std::vector<std::string> replica_discovery::first_by_hash(const std::set<std::string>& names,
                                                          std::uint64_t salt, std::size_t most) const
{
    std::map<std::uint64_t, std::string> ranked;
    for (const std::string& name : names)
    {
        ranked.emplace(hash64(name, m_seed + salt), name);
        if (ranked.size() > most)
        {
            ranked.erase(std::prev(ranked.end()));
        }
    }
    std::vector<std::string> chosen;
    chosen.reserve(ranked.size());
    for (auto& [rank, name] : ranked)
    {
        chosen.push_back(std::move(name));
    }
    return chosen;
}

std::vector<std::string> replica_discovery::choose(const std::set<std::string>& reachable,
                                                   std::uint64_t fresh_number, time_point now)
{
    if (now >= m_round_ends)
    {
        m_previous = std::exchange(m_current, {fresh_number, {}});
        m_round_ends = now + round_interval;
        ++m_rounds;
    }
    m_next_choice_at = now + choice_interval;
    std::vector<std::string> chosen;
    const std::size_t left = peers_per_round - m_current.asked.size();
    if (left == 0)
    {
        return chosen;
    }
    std::set<std::string> others;
    std::set_difference(reachable.begin(), reachable.end(), m_current.asked.begin(), m_current.asked.end(),
                        std::inserter(others, others.end()));
    chosen = first_by_hash(others, m_rounds, left);
    m_current.asked.insert(chosen.begin(), chosen.end());
    return chosen;
}

bool replica_discovery::is_awaited(const std::string& from, std::uint64_t number) const
{
    const auto asked = [&](const round& item)
    {
        return item.number == number && item.asked.count(from) > 0;
    };
    return asked(m_current) || asked(m_previous);
}

std::vector<std::string> replica_discovery::choose_peers_to_dial(const std::set<std::string>& known,
                                                                 time_point now)
{
    m_next_dial_at = now + dial_interval;
    return first_by_hash(known, ++m_dials, peers_per_round);
}

void replica_discovery::end() noexcept
{
    m_round_ends = time_point{};
    m_next_dial_at = time_point{};
    m_current = {};
    m_previous = {};
}

} // namespace flaxtiller::distribution
