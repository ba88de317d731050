#include <flaxtiller/registration/deregistration_confirmations.hpp>

#include <utility>

namespace flaxtiller
{

deregistration_number deregistration_confirmations::begin(const backend_server_name& id,
                                                          quorum::member_set members, time_point now)
{
    const deregistration_number number = m_next_number++;
    m_waiting.emplace(number, waiting{id, std::move(members), {}, now});
    return number;
}

void deregistration_confirmations::on_saved(deregistration_number number, const std::string& replica)
{
    const auto found = m_waiting.find(number);
    if (found != m_waiting.end())
    {
        found->second.saved_by.insert(replica);
    }
}

/// @return whether a majority of the voters may still save the deregistration
bool deregistration_confirmations::can_be_confirmed(const waiting& item,
                                                    const std::set<std::string>& reachable) const
{
    return item.members.majority_of(
        [&](const quorum::member& voter)
        {
            const std::string& name = voter.name.str();
            return name == m_self || reachable.count(name) > 0 || item.saved_by.count(name) > 0;
        });
}

std::vector<deregistration_confirmations::decision>
deregistration_confirmations::take_decisions(const std::set<std::string>& reachable, time_point now)
{
    std::vector<decision> decisions;
    std::erase_if(
        m_waiting,
        [&](const auto& entry)
        {
            const waiting& item = entry.second;
            const bool is_saved = item.members.majority_of(
                [&](const quorum::member& voter)
                {
                    return item.saved_by.count(voter.name.str()) > 0;
                });
            const bool is_over = now - item.since >= time_limit || !can_be_confirmed(item, reachable);
            if (is_saved || is_over)
            {
                decisions.push_back({entry.first, item.id, is_saved, item.saved_by, now - item.since});
            }
            return is_saved || is_over;
        });
    return decisions;
}

} // namespace flaxtiller
