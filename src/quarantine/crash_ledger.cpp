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
    if (item.cleared || item.crashes.size() < suspicion_threshold)
    {
        return quarantine_state::clear;
    }
    return prove_cause(item.crashes) ? quarantine_state::quarantined : quarantine_state::suspect;
}

duration crash_ledger::retention_of(const record& item) noexcept
{
    if (item.cleared)
    {
        return clearance_duration;
    }
    return quarantine_state_of(item) == quarantine_state::quarantined ? quarantine_duration
                                                                      : suspicion_duration;
}

bool crash_ledger::is_expired(const record& item, time_point now) noexcept
{
    return now - item.as_of >= retention_of(item);
}

/// @return whether the record has changed
bool crash_ledger::add(record& item, const server_crash& crash)
{
    const auto known = std::find_if(item.crashes.begin(), item.crashes.end(),
                                    [&](const server_crash& other)
                                    {
                                        return other.server == crash.server && other.born_ms == crash.born_ms;
                                    });
    if (known != item.crashes.end())
    {
        const bool proves = crash.on_trial && !known->on_trial;
        known->on_trial = known->on_trial || crash.on_trial;
        return proves;
    }
    if (item.crashes.size() < max_crashes_per_record)
    {
        item.crashes.push_back(crash);
        return true;
    }
    // Further crashes change nothing, except for the first one in a trial attempt, which proves the cause.
    if (!crash.on_trial || quarantine_state_of(item) == quarantine_state::quarantined)
    {
        return false;
    }
    item.crashes.back() = crash;
    return true;
}

crash_record crash_ledger::to_record(const request_fingerprint& request, const record& item, time_point now)
{
    return {request, item.crashes, item.cleared, now - item.as_of};
}

// ---------------------------------------------------------------------------------------------------------
// events
// ---------------------------------------------------------------------------------------------------------

const crash_ledger::record* crash_ledger::find(const request_fingerprint& request, time_point now) const
{
    const auto found = m_records.find(request);
    return found == m_records.end() || is_expired(found->second, now) ? nullptr : &found->second;
}

crash_ledger::record& crash_ledger::find_or_create(const request_fingerprint& request, time_point now)
{
    const auto found = m_records.find(request);
    if (found != m_records.end())
    {
        if (is_expired(found->second, now))
        {
            found->second = record{};
        }
        return found->second;
    }
    evict_if_full(now);
    return m_records[request];
}

/// Deletes one record if the ledger is full: of those with the least evidence the oldest.
void crash_ledger::evict_if_full(time_point now)
{
    if (m_records.size() < max_records)
    {
        return;
    }
    expire(now);
    if (m_records.size() < max_records)
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
    record& item = find_or_create(request, now);
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
    if (found == m_records.end() || found->second.cleared || is_expired(found->second, now))
    {
        return;
    }
    found->second = record{{}, true, now};
    m_changed.insert(request);
}

bool crash_ledger::merge(const crash_record& received, time_point now)
{
    const record incoming{received.crashes, received.cleared, now - received.age};
    if (is_expired(incoming, now) || (received.crashes.empty() && !received.cleared))
    {
        return false;
    }
    record& item = find_or_create(received.request, now);
    if (item.cleared)
    {
        return false;
    }
    if (received.cleared)
    {
        item = incoming;
        m_changed.insert(received.request);
        return true;
    }
    bool has_changed = false;
    for (const server_crash& crash : received.crashes)
    {
        has_changed = add(item, crash) || has_changed;
    }
    item.as_of = std::max(item.as_of, incoming.as_of);
    if (has_changed)
    {
        m_changed.insert(received.request);
    }
    return has_changed;
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

bool crash_ledger::has_uncleared_crash(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    return known != nullptr && !known->cleared;
}

duration crash_ledger::quarantine_time_left(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    if (known == nullptr || quarantine_state_of(*known) != quarantine_state::quarantined)
    {
        return {};
    }
    return known->as_of + quarantine_duration - now;
}

crash_record crash_ledger::record_of(const request_fingerprint& request, time_point now) const
{
    const record* known = find(request, now);
    return known == nullptr ? crash_record{request, {}, false, {}} : to_record(request, *known, now);
}

std::vector<crash_record> crash_ledger::take_changes(time_point now)
{
    std::vector<crash_record> changes;
    for (const request_fingerprint& request : std::exchange(m_changed, {}))
    {
        if (const record* known = find(request, now))
        {
            changes.push_back(to_record(request, *known, now));
        }
    }
    return changes;
}

std::vector<crash_record> crash_ledger::all(std::size_t min_crashes, time_point now) const
{
    std::vector<crash_record> known;
    for (const auto& [request, item] : m_records)
    {
        if (!is_expired(item, now) && (item.cleared || item.crashes.size() >= min_crashes))
        {
            known.push_back(to_record(request, item, now));
        }
    }
    return known;
}

std::vector<crash_record> crash_ledger::recent(time_point now) const
{
    std::vector<crash_record> newest = all(min_resent_crashes, now);
    std::erase_if(newest,
                  [](const crash_record& item)
                  {
                      return item.age > max_resend_age;
                  });
    std::sort(newest.begin(), newest.end(),
              [](const crash_record& a, const crash_record& b)
              {
                  return a.age < b.age;
              });
    newest.resize(std::min(newest.size(), max_resent_records));
    return newest;
}

void crash_ledger::expire(time_point now)
{
    std::erase_if(m_records,
                  [&](const auto& item)
                  {
                      return is_expired(item.second, now);
                  });
}

} // namespace flaxtiller
