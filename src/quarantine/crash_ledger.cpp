#include <flaxtiller/quarantine/crash_ledger.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace flaxtiller
{

// ---------------------------------------------------------------------------------------------------------
// one record
// ---------------------------------------------------------------------------------------------------------

crash_ledger::quarantine_state crash_ledger::quarantine_state_of(const record& item) noexcept
{
    if (item.cleared || item.crashes.size() < enough_crashes)
    {
        return quarantine_state::clear;
    }
    const bool proved = std::any_of(item.crashes.begin(), item.crashes.end(),
                                    [](const server_crash& crash)
                                    {
                                        return crash.on_trial;
                                    });
    return proved ? quarantine_state::quarantined : quarantine_state::suspect;
}

duration crash_ledger::kept_for(const record& item) noexcept
{
    if (item.cleared)
    {
        return cleared_for;
    }
    return quarantine_state_of(item) == quarantine_state::quarantined ? quarantined_for : suspected_for;
}

bool crash_ledger::is_over(const record& item, time_point now) noexcept
{
    return now - item.as_of >= kept_for(item);
}

/// @return whether it says more than was known
bool crash_ledger::add(record& item, const server_crash& crash)
{
    const auto known = std::find_if(item.crashes.begin(), item.crashes.end(),
                                    [&](const server_crash& other)
                                    {
                                        return other.server == crash.server && other.born_ms == crash.born_ms;
                                    });
    if (known != item.crashes.end())
    {
        return std::exchange(known->on_trial, known->on_trial || crash.on_trial) != known->on_trial;
    }
    if (item.crashes.size() < most_crashes_kept)
    {
        item.crashes.push_back(crash);
        return true;
    }
    // More of them decide nothing, but for the first on trial.
    if (!crash.on_trial || quarantine_state_of(item) == quarantine_state::quarantined)
    {
        return false;
    }
    item.crashes.back() = crash;
    return true;
}

crash_record crash_ledger::told(const request_fingerprint& request, const record& item, time_point now)
{
    return {request, item.crashes, item.cleared, now - item.as_of};
}

// ---------------------------------------------------------------------------------------------------------
// events
// ---------------------------------------------------------------------------------------------------------

const crash_ledger::record* crash_ledger::find(const request_fingerprint& request, time_point now) const
{
    const auto found = m_records.find(request);
    return found == m_records.end() || is_over(found->second, now) ? nullptr : &found->second;
}

crash_ledger::record& crash_ledger::open(const request_fingerprint& request, time_point now)
{
    const auto found = m_records.find(request);
    if (found != m_records.end())
    {
        if (is_over(found->second, now))
        {
            found->second = record{};
        }
        return found->second;
    }
    make_room(now);
    return m_records[request];
}

/// Of too many, the oldest of those that weigh least is forgotten.
void crash_ledger::make_room(time_point now)
{
    if (m_records.size() < most_records)
    {
        return;
    }
    expire(now);
    if (m_records.size() < most_records)
    {
        return;
    }
    const auto weight = [](const records::value_type& item)
    {
        return std::tuple(quarantine_state_of(item.second), item.second.crashes.size(), item.second.as_of);
    };
    const auto least = std::min_element(m_records.begin(), m_records.end(),
                                        [&](const auto& a, const auto& b)
                                        {
                                            return weight(a) < weight(b);
                                        });
    m_changed.erase(least->first);
    m_records.erase(least);
}

void crash_ledger::on_crash(const request_fingerprint& request, const server_crash& crash, time_point now)
{
    record& item = open(request, now);
    if (item.cleared)
    {
        return;
    }
    item.as_of = now;
    if (add(item, crash))
    {
        m_changed.insert(request);
    }
}

void crash_ledger::on_answer(const request_fingerprint& request, time_point now)
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || found->second.cleared || is_over(found->second, now))
    {
        return;
    }
    found->second = record{{}, true, now};
    m_changed.insert(request);
}

bool crash_ledger::merge(const crash_record& said, time_point now)
{
    const record incoming{said.crashes, said.cleared, now - said.age};
    if (is_over(incoming, now) || (said.crashes.empty() && !said.cleared))
    {
        return false;
    }
    record& item = open(said.request, now);
    if (item.cleared)
    {
        return false;
    }
    if (said.cleared)
    {
        item = incoming;
        m_changed.insert(said.request);
        return true;
    }
    bool news = false;
    for (const server_crash& crash : said.crashes)
    {
        news = add(item, crash) || news;
    }
    item.as_of = std::max(item.as_of, incoming.as_of);
    if (news)
    {
        m_changed.insert(said.request);
    }
    return news;
}

// ---------------------------------------------------------------------------------------------------------
// inspection
// ---------------------------------------------------------------------------------------------------------

crash_ledger::quarantine_state crash_ledger::quarantine_state_of(const request_fingerprint& request,
                                                                 time_point now) const
{
    const record* known = find(request, now);
    return known == nullptr ? quarantine_state::clear : quarantine_state_of(*known);
}

bool crash_ledger::has_crashed(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    return known != nullptr && !known->cleared;
}

duration crash_ledger::quarantine_left(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    if (known == nullptr || quarantine_state_of(*known) != quarantine_state::quarantined)
    {
        return {};
    }
    return known->as_of + quarantined_for - now;
}

crash_record crash_ledger::record_of(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    return known == nullptr ? crash_record{request, {}, false, {}} : told(request, *known, now);
}

std::vector<crash_record> crash_ledger::take_changes(time_point now)
{
    std::vector<crash_record> changes;
    for (const request_fingerprint& request : std::exchange(m_changed, {}))
    {
        if (const record* known = find(request, now))
        {
            changes.push_back(told(request, *known, now));
        }
    }
    return changes;
}

std::vector<crash_record> crash_ledger::all(std::size_t least_crashes, time_point now) const
{
    std::vector<crash_record> known;
    for (const auto& [request, item] : m_records)
    {
        if (!is_over(item, now) && (item.cleared || item.crashes.size() >= least_crashes))
        {
            known.push_back(told(request, item, now));
        }
    }
    return known;
}

void crash_ledger::expire(time_point now)
{
    std::erase_if(m_records,
                  [&](const auto& item)
                  {
                      return is_over(item.second, now);
                  });
}

} // namespace flaxtiller
