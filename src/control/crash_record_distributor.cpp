#include "crash_record_distributor.hpp"

#include "process/log.hpp"
#include "process/system.hpp"

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

/// Changes are sent after this delay, so that crashes under the same request share a message.
constexpr duration send_delay = duration::from_ms(10);
/// The minimum time between two writes, so that many crashes at once share a write.
constexpr duration min_save_interval = duration::from_ms(100);
/// Records with fewer crashes aren't sent to entries. An entry acts on a single crash only if it saw the
/// crash itself.
constexpr std::size_t min_crashes_for_entries = crash_ledger::min_resent_crashes;

std::vector<crash_record> select_for_entries(std::vector<crash_record> records)
{
    std::erase_if(records,
                  [](const crash_record& item)
                  {
                      return !item.cleared && item.crashes.size() < min_crashes_for_entries;
                  });
    return records;
}

} // namespace

void crash_record_distributor::load(time_point now)
{
    const std::vector<crash_record> restored = m_file.load(unix_ms());
    for (const crash_record& item : restored)
    {
        m_ledger.merge(item, now);
    }
    (void)m_ledger.take_changes(now);
    log(log_level::info, "crash_records_restored", {{"items", restored.size()}});
}

void crash_record_distributor::on_crash_update(const std::string& from, const crash_news& update,
                                               bool by_replica, time_point now)
{
    for (const crash_record& item : update.items)
    {
        if (!m_ledger.merge(item, now))
        {
            continue;
        }
        if (!by_replica)
        {
            m_changed_by_entries.insert(item.request);
        }
        m_send_at = std::min(m_send_at, now + send_delay);
        const crash_record changed = m_ledger.record_of(item.request, now);
        log(log_level::info, "crash_record",
            {{"fingerprint", changed.request.str()},
             {"from", from},
             {"crashes", changed.crashes.size()},
             {"proved", prove_cause(changed.crashes)},
             {"cleared", changed.cleared},
             {"last_ms_ago", changed.age.ms()}});
    }
}

void crash_record_distributor::on_reachable(const std::string& peer, time_point now)
{
    const std::vector<crash_record> known = m_ledger.all(1, now);
    if (!known.empty())
    {
        m_links.send(peer, crash_news{known});
    }
}

void crash_record_distributor::send_changes(const std::set<std::string>& replicas,
                                            const std::vector<std::string>& entries, time_point now)
{
    const std::vector<crash_record> changes = m_ledger.take_changes(now);
    std::vector<crash_record> from_entries;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(from_entries),
                 [&](const crash_record& item)
                 {
                     return m_changed_by_entries.count(item.request) > 0;
                 });
    if (!from_entries.empty())
    {
        m_links.send(std::vector<std::string>(replicas.begin(), replicas.end()), crash_news{from_entries});
    }
    if (const auto selected = select_for_entries(changes); !selected.empty())
    {
        m_links.send(entries, crash_news{selected});
    }
    m_changed_by_entries.clear();
    m_send_at = time_point::never();
    m_save_at = std::min(m_save_at, std::max(now, m_saved_at + min_save_interval));
}

void crash_record_distributor::save(time_point now)
{
    m_saved_at = now;
    m_save_at = time_point::never();
    m_file.save(m_ledger.all(min_crashes_for_entries, now), unix_ms());
}

void crash_record_distributor::tick(const std::set<std::string>& replicas,
                                    const std::vector<std::string>& entries, time_point now)
{
    if (now >= m_send_at)
    {
        send_changes(replicas, entries, now);
    }
    if (now >= m_save_at)
    {
        save(now);
    }
    if (!is_resend_due(now))
    {
        return;
    }
    m_resend_at = now + crash_ledger::resend_interval;
    m_ledger.expire(now);
    if (const crash_news recent{m_ledger.recent(now)}; !recent.items.empty())
    {
        m_links.send(std::vector<std::string>(replicas.begin(), replicas.end()), recent);
        m_links.send(entries, recent);
    }
}

} // namespace flaxtiller::shell
