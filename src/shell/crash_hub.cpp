#include "crash_hub.hpp"

#include "log.hpp"
#include "system.hpp"

#include <algorithm>
#include <iterator>

namespace flaxtiller::shell
{

namespace
{

/// Crashes under one request come within this, and share a message.
constexpr duration gather = duration::from_ms(10);
/// Links may lose what was sent on them; so entries are told again this often, for a while. Whoever wasn't
/// reached for longer is told all when its link comes up.
constexpr duration tell_again_every = duration::from_ms(1500);
constexpr duration tell_again_for = duration::from_ms(15000);
constexpr std::size_t most_told_again = 64;
/// Many crashes at once share a write.
constexpr duration save_every = duration::from_ms(100);
/// Entries act on no fewer crashes, but for their own.
constexpr std::size_t least_told_to_entries = 2;

std::vector<crash_record> for_entries(std::vector<crash_record> records)
{
    std::erase_if(records,
                  [](const crash_record& item)
                  {
                      return !item.cleared && item.crashes.size() < least_told_to_entries;
                  });
    return records;
}

/// Those that changed lately, the newest where these are many.
std::vector<crash_record> to_tell_again(std::vector<crash_record> records)
{
    std::erase_if(records,
                  [](const crash_record& item)
                  {
                      return item.age > tell_again_for;
                  });
    std::sort(records.begin(), records.end(),
              [](const crash_record& a, const crash_record& b)
              {
                  return a.age < b.age;
              });
    records.resize(std::min(records.size(), most_told_again));
    return records;
}

} // namespace

void crash_hub::load(time_point now)
{
    const std::vector<crash_record> before = m_file.load(unix_ms());
    for (const crash_record& item : before)
    {
        m_ledger.merge(item, now);
    }
    (void)m_ledger.take_changes(now);
    log(log_level::info, "crash_records_restored", {{"items", before.size()}});
}

void crash_hub::on_news(const std::string& from, const crash_news& news, bool by_replica, time_point now)
{
    for (const crash_record& item : news.items)
    {
        if (!m_ledger.merge(item, now))
        {
            continue;
        }
        if (!by_replica)
        {
            m_own.insert(item.request);
        }
        m_tell_at = std::min(m_tell_at, now + gather);
        log(log_level::info, "crash_record",
            {{"fingerprint", item.request.str()},
             {"from", from},
             {"crashes", m_ledger.record_of(item.request, now).crashes.size()},
             {"cleared", item.cleared}});
    }
}

void crash_hub::on_reachable(const std::string& peer, time_point now)
{
    const std::vector<crash_record> known = m_ledger.all(1, now);
    if (!known.empty())
    {
        m_links.send(peer, crash_news{known});
    }
}

void crash_hub::tell_changes(const std::set<std::string>& replicas, const std::vector<std::string>& entries,
                             time_point now)
{
    const std::vector<crash_record> changes = m_ledger.take_changes(now);
    std::vector<crash_record> own;
    std::copy_if(changes.begin(), changes.end(), std::back_inserter(own),
                 [&](const crash_record& item)
                 {
                     return m_own.count(item.request) > 0;
                 });
    if (!own.empty())
    {
        m_links.send(std::vector<std::string>(replicas.begin(), replicas.end()), crash_news{own});
    }
    if (const auto told = for_entries(changes); !told.empty())
    {
        m_links.send(entries, crash_news{told});
    }
    m_own.clear();
    m_tell_at = time_point::never();
    m_save_at = std::min(m_save_at, std::max(now, m_saved_at + save_every));
}

void crash_hub::save(time_point now)
{
    m_saved_at = now;
    m_save_at = time_point::never();
    m_file.save(m_ledger.all(least_told_to_entries, now), unix_ms());
}

void crash_hub::tick(const std::set<std::string>& replicas, const std::vector<std::string>& entries,
                     time_point now)
{
    if (now >= m_tell_at)
    {
        tell_changes(replicas, entries, now);
    }
    if (now >= m_save_at)
    {
        save(now);
    }
    if (!is_telling_again_due(now))
    {
        return;
    }
    m_tell_again_at = now + tell_again_every;
    m_ledger.expire(now);
    if (const auto told = to_tell_again(m_ledger.all(least_told_to_entries, now)); !told.empty())
    {
        m_links.send(entries, crash_news{told});
    }
}

} // namespace flaxtiller::shell
