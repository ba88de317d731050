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
/// A message is lost if its link breaks, so recent records are sent to entries again at this interval, until
/// they reach this age. An entry that is unreachable for longer gets all records when its link is
/// established.
constexpr duration resend_interval = duration::from_ms(1500);
constexpr duration max_resend_age = duration::from_ms(15000);
constexpr std::size_t max_resent_records = 64;
/// The minimum time between two writes, so that many crashes at once share a write.
constexpr duration min_save_interval = duration::from_ms(100);
/// Records with fewer crashes aren't sent to entries. An entry acts on a single crash only if it saw the
/// crash itself.
constexpr std::size_t min_crashes_for_entries = 2;

std::vector<crash_record> select_for_entries(std::vector<crash_record> records)
{
    std::erase_if(records,
                  [](const crash_record& item)
                  {
                      return !item.cleared && item.crashes.size() < min_crashes_for_entries;
                  });
    return records;
}

/// @return the records that changed recently, at most @ref max_resent_records, the newest first
std::vector<crash_record> select_for_resend(std::vector<crash_record> records)
{
    std::erase_if(records,
                  [](const crash_record& item)
                  {
                      return item.age > max_resend_age;
                  });
    std::sort(records.begin(), records.end(),
              [](const crash_record& a, const crash_record& b)
              {
                  return a.age < b.age;
              });
    records.resize(std::min(records.size(), max_resent_records));
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
        log(log_level::info, "crash_record",
            {{"fingerprint", item.request.str()},
             {"from", from},
             {"crashes", m_ledger.record_of(item.request, now).crashes.size()},
             {"cleared", item.cleared}});
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
    m_resend_at = now + resend_interval;
    m_ledger.expire(now);
    if (const auto selected = select_for_resend(m_ledger.all(min_crashes_for_entries, now));
        !selected.empty())
    {
        m_links.send(entries, crash_news{selected});
    }
}

} // namespace flaxtiller::shell
