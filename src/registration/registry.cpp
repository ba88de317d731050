#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace flaxtiller
{

namespace
{

/// A more recent report may not have reached the other process yet.
constexpr duration settle_time = duration::from_ms(2000);

bool is_gone(const registration& item) noexcept
{
    return item.state == registration_state::gone;
}

/// The digest of a registry is the sum of these hashes. It doesn't depend on the order of arrival, and ids
/// that are gone or lost contribute nothing, whether they were removed already or not.
std::uint64_t digest_of(const registration& item)
{
    if (item.id.empty() || !item.is_present())
    {
        return 0;
    }
    const std::uint64_t run_hash = hash64(item.id.str(), static_cast<std::uint64_t>(item.born_ms));
    return hash64(item.id.str(), run_hash + static_cast<std::uint64_t>(item.state));
}

std::set<backend_server_name> ids_of(const std::vector<registration>& items)
{
    std::set<backend_server_name> ids;
    for (const registration& item : items)
    {
        ids.insert(item.id);
    }
    return ids;
}

} // namespace

void to_json(nlohmann::json& j, const heartbeat_receipt& value)
{
    // An array is shorter than an object: each replica sends hundreds of receipts every few seconds.
    j = nlohmann::json::array({value.id, value.sequence, value.born_ms});
    if (value.status)
    {
        j.push_back(*value.status);
    }
}

void from_json(const nlohmann::json& j, heartbeat_receipt& value)
{
    value.id = j.at(0).get<backend_server_name>();
    value.sequence = j.at(1).get<std::int64_t>();
    value.born_ms = j.at(2).get<std::int64_t>();
    constexpr std::size_t status_position = 3;
    value.status =
        j.size() > status_position ? std::optional(j.at(status_position).get<std::uint32_t>()) : std::nullopt;
}

bool registry::accept(registered_server& item, const registration& report, time_point now)
{
    const bool first_report = item.report.id.empty();
    const bool same_run = report.born_ms == item.report.born_ms;
    if (!first_report && !report.supersedes(item.report))
    {
        note_refused(item.report, report);
        return false;
    }
    confirm(item);
    const time_point warmup_ends_at = now + report.warmup_left;
    const bool longer_warmup = warmup_ends_at > std::max(item.warmup_ends_at, now) + warmup_tolerance;
    const bool shorter_warmup = warmup_ends_at + warmup_tolerance < item.warmup_ends_at;
    const bool changed =
        first_report || longer_warmup || shorter_warmup || !item.report.has_same_status(report);
    if (report.state == registration_state::gone)
    {
        item.gone_at = now;
    }
    const std::int64_t sequence =
        same_run ? std::max(item.report.sequence, report.sequence) : report.sequence;
    item.warmup_ends_at = changed ? warmup_ends_at : item.warmup_ends_at;
    m_digest -= digest_of(item.report);
    item.report = report;
    item.report.sequence = sequence;
    m_digest += digest_of(item.report);
    item.last_heartbeat_at = now;
    if (changed)
    {
        m_changes.push_back(item.report);
    }
    return changed;
}

void registry::note_refused(const registration& known, const registration& refused)
{
    if (known.state == refused.state || known.born_ms != refused.born_ms)
    {
        return;
    }
    ++m_refused_count;
    if (m_refused.size() < max_refused_reports)
    {
        m_refused.push_back({known.id, known.state, known.sequence, refused.state, refused.sequence});
    }
}

bool registry::on_heartbeat(const registration& report, time_point now)
{
    registered_server& item = m_servers[report.id];
    const bool changed = accept(item, report, now);
    item.receipt_pending = item.report.is_present();
    return changed;
}

bool registry::on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now)
{
    registered_server& item = m_servers[id];
    registration report = item.report;
    report.id = id;
    report.born_ms = born_ms != 0 ? born_ms : report.born_ms;
    report.state = registration_state::gone;
    return accept(item, report, now);
}

bool registry::merge(const registration& report, time_point now)
{
    return accept(m_servers[report.id], report, now);
}

std::vector<registration> registry::on_heartbeat_receipts(const std::vector<heartbeat_receipt>& receipts,
                                                          time_point now)
{
    std::vector<registration> outdated;
    for (const heartbeat_receipt& receipt : receipts)
    {
        const auto found = m_servers.find(receipt.id);
        // The sequence of another run can't be compared with that of the known run.
        if (found == m_servers.end() || receipt.born_ms != found->second.report.born_ms ||
            receipt.sequence < found->second.report.sequence || is_gone(found->second.report))
        {
            continue;
        }
        registered_server& item = found->second;
        const bool same_status = receipt.status == item.report.status_digest();
        if (receipt.status && !same_status)
        {
            outdated.push_back(item.report);
        }
        if (receipt.sequence > item.report.sequence && item.report.state != registration_state::lost)
        {
            item.last_heartbeat_at = now;
            confirm(item);
            item.report.sequence = same_status ? receipt.sequence : item.report.sequence;
        }
    }
    return outdated;
}

void registry::confirm(registered_server& item) noexcept
{
    m_unconfirmed_count -= item.unconfirmed ? 1 : 0;
    item.unconfirmed = false;
}

std::size_t registry::restore(const std::vector<registration>& restored, time_point now)
{
    std::size_t restored_count = 0;
    for (const registration& report : restored)
    {
        if (is_gone(report))
        {
            (void)merge(report, now);
            continue;
        }
        if (!report.is_present() || m_servers.count(report.id) > 0)
        {
            continue;
        }
        registered_server& item = m_servers[report.id];
        (void)accept(item, report, now);
        item.unconfirmed = true;
        ++m_unconfirmed_count;
        ++restored_count;
    }
    return restored_count;
}

template <typename Condition>
bool registry::mark_lost_if(Condition is_lost)
{
    bool changed = false;
    for (auto& [id, item] : m_servers)
    {
        if (is_lost(id, item))
        {
            mark_lost(item);
            changed = true;
        }
    }
    return changed;
}

bool registry::mark_unconfirmed_lost(duration age, time_point now)
{
    return has_unconfirmed() && mark_lost_if(
                                    [&](const backend_server_name&, const registered_server& item)
                                    {
                                        return item.unconfirmed && now - item.last_heartbeat_at > age;
                                    });
}

bool registry::mark_unconfirmed_lost(const std::vector<registration>& all)
{
    if (!has_unconfirmed())
    {
        return false;
    }
    const std::set<backend_server_name> listed = ids_of(all);
    return mark_lost_if(
        [&](const backend_server_name& id, const registered_server& item)
        {
            return item.unconfirmed && listed.count(id) == 0;
        });
}

bool registry::has_unconfirmed() const noexcept
{
    return m_unconfirmed_count > 0;
}

void registry::mark_lost(registered_server& item)
{
    confirm(item);
    m_digest -= digest_of(item.report);
    item.report.state = registration_state::lost;
    // The greater sequence gives `lost` precedence on processes that know the last heartbeat.
    ++item.report.sequence;
    m_changes.push_back(item.report);
}

bool registry::mark_unlisted_lost(const std::vector<registration>& all, time_point now)
{
    const std::set<backend_server_name> listed = ids_of(all);
    return mark_lost_if(
        [&](const backend_server_name& id, const registered_server& item)
        {
            return item.report.is_present() && listed.count(id) == 0 &&
                   now - item.last_heartbeat_at > settle_time;
        });
}

bool registry::expire(duration silence, time_point now)
{
    return mark_lost_if(
        [&](const backend_server_name&, const registered_server& item)
        {
            return item.report.is_present() && now - item.last_heartbeat_at > silence;
        });
}

std::vector<backend_server_name> registry::forget(duration silence, time_point now)
{
    std::vector<backend_server_name> forgotten;
    if (now < m_forget_at)
    {
        return forgotten;
    }
    m_forget_at = now + forget_interval;
    std::erase_if(m_servers,
                  [&](const auto& entry)
                  {
                      const registered_server& item = entry.second;
                      const bool gone = is_gone(item.report) && now - item.gone_at > gone_retention;
                      const bool lost = item.report.state == registration_state::lost &&
                                        now - item.last_heartbeat_at > silence + gone_retention;
                      if (gone || lost)
                      {
                          forgotten.push_back(entry.first);
                      }
                      return gone || lost;
                  });
    return forgotten;
}

std::vector<registration> registry::take_changes()
{
    return std::exchange(m_changes, {});
}

std::vector<refused_report> registry::take_refused()
{
    return std::exchange(m_refused, {});
}

std::vector<heartbeat_receipt> registry::take_heartbeat_receipts()
{
    std::vector<heartbeat_receipt> receipts;
    for (auto& [id, item] : m_servers)
    {
        if (item.receipt_pending)
        {
            item.receipt_pending = false;
            receipts.push_back({id, item.report.sequence, item.report.born_ms, item.report.status_digest()});
        }
    }
    return receipts;
}

std::vector<registration> registry::all(time_point now) const
{
    std::vector<registration> items;
    items.reserve(m_servers.size());
    for (const auto& [id, item] : m_servers)
    {
        items.push_back(report_at(item, now));
    }
    return items;
}

registration registry::report_at(const registered_server& item, time_point now)
{
    registration report = item.report;
    report.warmup_left = std::max(item.warmup_ends_at - now, duration{});
    return report;
}

std::uint64_t registry::digest() const noexcept
{
    return m_digest;
}

std::optional<registration> registry::find(const backend_server_name& id) const
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? std::nullopt : std::optional(found->second.report);
}

std::vector<registration> registry::missed_among(const std::vector<registration>& reported,
                                                 time_point now) const
{
    std::vector<registration> missed;
    for (const registration& report : reported)
    {
        const auto found = m_servers.find(report.id);
        if (found != m_servers.end() && found->second.report.supersedes(report) &&
            !found->second.report.has_same_status(report))
        {
            missed.push_back(report_at(found->second, now));
        }
    }
    return missed;
}

std::vector<registration> registry::present() const
{
    std::vector<registration> items;
    for (const auto& [id, item] : m_servers)
    {
        if (item.report.is_present())
        {
            items.push_back(item.report);
        }
    }
    return items;
}

bool registry::empty() const noexcept
{
    return m_servers.empty();
}

} // namespace flaxtiller
