// Requests suspected of crashing the backend servers that run them: these are held back, tested by a trial
// attempt, and released or refused.

#include <flaxtiller/routing/router.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace flaxtiller
{

using quarantine_state = crash_ledger::quarantine_state;

const request_fingerprint& router::fingerprint_of(open_request& opened)
{
    if (!opened.fingerprint)
    {
        opened.fingerprint = flaxtiller::fingerprint_of(*opened.request);
    }
    return *opened.fingerprint;
}

quarantine_state router::quarantine_state_of(open_request& opened, time_point now) const
{
    return m_crashes.empty() ? quarantine_state::clear
                             : m_crashes.quarantine_state_of(fingerprint_of(opened), now);
}

// ---------------------------------------------------------------------------------------------------------
// evidence
// ---------------------------------------------------------------------------------------------------------

std::int64_t router::born_ms_of(const started& attempt) const
{
    const auto at = m_service_schedulers.find(attempt.scheduler_id);
    if (at == m_service_schedulers.end())
    {
        return 0;
    }
    for (const auto& replicas : at->second.placed->shards)
    {
        for (const backend_server& server : replicas)
        {
            if (server.name == attempt.server)
            {
                return server.born_ms;
            }
        }
    }
    return 0;
}

void router::observe_crash(const started& ended, time_point now)
{
    const auto found = m_open.find(ended.request);
    if (found != m_open.end() && found->second.succeeded > 0)
    {
        // Other backend servers have answered the request, so the crash had another cause.
        return;
    }
    const request_fingerprint fingerprint =
        found != m_open.end() ? fingerprint_of(found->second) : flaxtiller::fingerprint_of(*ended.sent);
    const quarantine_state before = m_crashes.quarantine_state_of(fingerprint, now);
    m_crashes.on_crash(fingerprint, {ended.server, born_ms_of(ended), ended.on_trial}, now);
    if (m_crashes.quarantine_state_of(fingerprint, now) != quarantine_state::clear)
    {
        m_next_trial_at = now + m_options.trial_pause;
    }
    if (found != m_open.end())
    {
        found->second.crashes = {m_crashes.record_of(fingerprint, now)};
    }
    on_quarantine_state(fingerprint, before, now);
}

void router::observe_answer(const started& ended, time_point now)
{
    const auto found = m_open.find(ended.request);
    const request_fingerprint fingerprint =
        found != m_open.end() ? fingerprint_of(found->second) : flaxtiller::fingerprint_of(*ended.sent);
    if (m_crashes.has_uncleared_crash(fingerprint, now))
    {
        const quarantine_state before = m_crashes.quarantine_state_of(fingerprint, now);
        m_crashes.on_answer(fingerprint, now);
        on_quarantine_state(fingerprint, before, now);
    }
}

std::vector<crash_record> router::merge_crash_records(const std::vector<crash_record>& records,
                                                      time_point now)
{
    std::vector<crash_record> changed;
    for (const crash_record& reported : records)
    {
        const quarantine_state before = m_crashes.quarantine_state_of(reported.request, now);
        if (m_crashes.merge(reported, now))
        {
            on_quarantine_state(reported.request, before, now);
            changed.push_back(m_crashes.record_of(reported.request, now));
        }
    }
    return changed;
}

std::vector<crash_record> router::on_crash_records(const std::vector<crash_record>& records, time_point now)
{
    std::vector<crash_record> changed = merge_crash_records(records, now);
    // The sender distributes the records to the other processes itself.
    (void)m_crashes.take_changes(now);
    process_held(now);
    return changed;
}

void router::publish_crash_changes(time_point now)
{
    std::vector<crash_record> changes = m_crashes.take_changes(now);
    if (!changes.empty())
    {
        m_actions.emplace_back(publish_crash_records{std::move(changes)});
    }
}

// ---------------------------------------------------------------------------------------------------------
// holding back
// ---------------------------------------------------------------------------------------------------------

void router::on_quarantine_state(const request_fingerprint& fingerprint, quarantine_state before,
                                 time_point now)
{
    const quarantine_state after = m_crashes.quarantine_state_of(fingerprint, now);
    if (after == before)
    {
        return;
    }
    hold_or_release(fingerprint, now);
    m_actions.emplace_back(
        report_quarantine_state{fingerprint, after, m_crashes.record_of(fingerprint, now), m_held.size()});
}

/// Holds or releases all open requests with this fingerprint, by its quarantine state. Ending quarantined
/// requests is left to @ref process_held.
void router::hold_or_release(const request_fingerprint& fingerprint, time_point now)
{
    const bool holds = m_crashes.quarantine_state_of(fingerprint, now) != quarantine_state::clear;
    if (!holds && m_held.empty())
    {
        return;
    }
    std::vector<request_number> same;
    for (auto& [number, opened] : m_open)
    {
        if (opened.held != holds && fingerprint_of(opened) == fingerprint)
        {
            same.push_back(number);
        }
    }
    // In order of arrival, so that equal events give equal actions.
    std::sort(same.begin(), same.end());
    for (const request_number number : same)
    {
        // Releasing one request may have ended others.
        const auto found = m_open.find(number);
        if (found != m_open.end())
        {
            holds ? hold(number, found->second) : release(number, found->second, now);
        }
    }
}

void router::hold(request_number number, open_request& opened)
{
    opened.held = true;
    m_held.insert(number);
    for (const part& item : opened.parts)
    {
        if (!item.is_finished && item.subquery != 0)
        {
            service_scheduler& runs = m_service_schedulers.at(item.scheduler_id);
            runs.scheduler.hold(item.subquery);
            note_due(item.scheduler_id, runs);
        }
    }
}

void router::release(request_number number, open_request& opened, time_point now)
{
    opened.held = false;
    forget_held(number);
    std::vector<scheduler_index> affected_schedulers;
    for (const part& item : opened.parts)
    {
        if (!item.is_finished && item.subquery != 0)
        {
            m_service_schedulers.at(item.scheduler_id).scheduler.release(item.subquery, now);
            affected_schedulers.push_back(item.scheduler_id);
        }
    }
    // Actions are collected after all parts are released: one part that ends at once must not cause an answer
    // before that.
    for (const scheduler_index at : affected_schedulers)
    {
        collect(at, now);
    }
}

void router::forget_held(request_number number)
{
    m_held.erase(number);
    if (m_trial && m_trial->request == number)
    {
        m_trial.reset();
    }
}

// ---------------------------------------------------------------------------------------------------------
// trial attempts and quarantine
// ---------------------------------------------------------------------------------------------------------

void router::end_trial(dispatch::subquery_id subquery, time_point now)
{
    if (m_trial && m_trial->subquery == subquery)
    {
        m_trial.reset();
        m_next_trial_at = std::max(m_next_trial_at, now + m_options.trial_pause);
    }
}

void router::process_held(time_point now)
{
    if (m_held.empty())
    {
        return;
    }
    end_quarantined(now);
    start_next_trial(now);
}

bool router::is_under_way(const open_request& opened) const
{
    const bool awaited = std::any_of(opened.groups.begin(), opened.groups.end(),
                                     [](const group& delegated_group)
                                     {
                                         return !delegated_group.is_finished && delegated_group.is_awaited();
                                     });
    return awaited || std::any_of(opened.parts.begin(), opened.parts.end(),
                                  [&](const part& item)
                                  {
                                      return !item.is_finished && item.subquery != 0 &&
                                             !m_service_schedulers.at(item.scheduler_id)
                                                  .scheduler.is_idle_on_hold(item.subquery);
                                  });
}

/// Ends the quarantined requests that have no running parts. A running part may still be answered, which
/// would clear the request.
void router::end_quarantined(time_point now)
{
    const std::vector<request_number> held(m_held.begin(), m_held.end());
    for (const request_number number : held)
    {
        const auto found = m_open.find(number);
        if (found == m_open.end() || !found->second.held)
        {
            // Releasing an earlier request has ended or released this one.
            continue;
        }
        open_request& opened = found->second;
        const quarantine_state known = quarantine_state_of(opened, now);
        if (known == quarantine_state::clear)
        {
            // The crash record has expired.
            release(number, opened, now);
        }
        else if (known == quarantine_state::quarantined && !is_under_way(opened))
        {
            opened.reason = missing_reason::quarantined;
            opened.retry_after = m_crashes.quarantine_time_left(fingerprint_of(opened), now);
            opened.crashes = {m_crashes.record_of(fingerprint_of(opened), now)};
            fail(number, opened, false, now);
        }
    }
}

/// Starts a trial attempt of one held request, that with the fewest crashes first, as it is the least likely
/// cause.
void router::start_next_trial(time_point now)
{
    if (m_trial || m_held.empty() || now < m_next_trial_at)
    {
        return;
    }
    std::vector<std::pair<std::size_t, request_number>> waiting;
    for (const request_number number : m_held)
    {
        open_request& opened = m_open.at(number);
        if (quarantine_state_of(opened, now) == quarantine_state::suspect)
        {
            waiting.emplace_back(m_crashes.record_of(fingerprint_of(opened), now).crashes.size(), number);
        }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [crashes, number] : waiting)
    {
        if (start_trial_of(number, now))
        {
            return;
        }
    }
    m_next_trial_at = now + m_options.trial_pause;
}

bool router::can_run_trial(const part& item, const std::shared_ptr<const region_set>& regions,
                           time_point now) const
{
    const dispatch::scheduler& scheduler = m_service_schedulers.at(item.scheduler_id).scheduler;
    duration retry_after{};
    return scheduler.is_idle_on_hold(item.subquery) &&
           scheduler.unavailable_reason(0, regions, now, retry_after) == missing_reason::none;
}

/// @return whether a trial attempt of one of the request's parts was started
bool router::start_trial_of(request_number number, time_point now)
{
    const open_request& opened = m_open.at(number);
    for (const part& item : opened.parts)
    {
        if (!item.is_finished && item.subquery != 0 && can_run_trial(item, opened.regions, now))
        {
            m_trial = trial{number, item.subquery};
            const scheduler_index at = item.scheduler_id;
            m_service_schedulers.at(at).scheduler.start_one_attempt(item.subquery, now);
            collect(at, now);
            return true;
        }
    }
    return false;
}

/// @return whether the request must not be sent to further backend servers now, by this or another entry
bool router::is_held_or_quarantined(open_request& opened, time_point now) const
{
    return quarantine_state_of(opened, now) != quarantine_state::clear;
}

} // namespace flaxtiller
