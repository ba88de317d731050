#include <flaxtiller/distribution/publisher.hpp>

#include <flaxtiller/catalog/diff.hpp>

#include <algorithm>
#include <utility>

namespace flaxtiller::distribution
{

void publisher::on_revision(std::int64_t revision, std::shared_ptr<const configuration> value)
{
    if (revision <= this->revision())
    {
        return;
    }
    m_digest = m_retained.empty() ? value->digest() : digest_from(*m_retained.back().value, *value);
    m_retained.push_back({revision, std::move(value)});
    if (m_retained.size() > max_retained_revisions)
    {
        m_retained.pop_front();
    }
    m_updates.clear();
    for (const auto& [name, known] : m_instances)
    {
        m_instances_to_check.insert(name);
    }
}

/// Revisions usually differ in few items. Computing the digest of all items took 6% of the cost of a change
/// on a replica.
std::uint64_t publisher::digest_from(const configuration& before, const configuration& now) const
{
    return digest_after(before, m_digest, now, diff(before, now));
}

void publisher::on_report(const instance_name& from, const revision_report& report, time_point now)
{
    instance_state& known = m_instances[from];
    known.active_revision = report.revision;
    known.needs_whole = report.needs_whole;
    known.wants_updates = report.wants_updates;
    known.last_report_at = now;
    const retained_revision* same = find(report.revision);
    const bool differs = same != nullptr && report.revision == revision() && report.digest != m_digest;
    known.needs_whole = known.needs_whole || differs;
    if (known.active_revision < this->revision())
    {
        m_instances_to_check.insert(from);
    }
}

void publisher::on_link_lost(const instance_name& instance)
{
    const auto known = m_instances.find(instance);
    if (known != m_instances.end())
    {
        known->second.sent_revision = 0;
    }
}

void publisher::forget(const instance_name& instance)
{
    m_instances.erase(instance);
    m_instances_to_check.erase(instance);
}

std::vector<publisher::outgoing> publisher::take_updates(time_point now)
{
    std::vector<outgoing> updates;
    // An instance that gets no update now is checked again at its next report.
    for (const instance_name& name : std::exchange(m_instances_to_check, {}))
    {
        ++m_instances_checked;
        instance_state& known = m_instances.at(name);
        if (!needs_update(known, now))
        {
            continue;
        }
        known.resend_timeout = known.sent_revision == revision() ? known.resend_timeout * 2.0 : resend_after;
        const std::int64_t base =
            known.needs_whole || find(known.active_revision) == nullptr ? 0 : known.active_revision;
        updates.push_back({name, update_from(base)});
        known.sent_revision = revision();
        known.sent_at = now;
    }
    return updates;
}

bool publisher::needs_update(const instance_state& known, time_point now) const
{
    const bool follows = known.wants_updates && now - known.last_report_at < follower_timeout;
    const bool behind = known.active_revision < revision();
    const bool under_way =
        known.sent_revision == revision() && known.last_report_at - known.sent_at < known.resend_timeout;
    return follows && behind && !under_way;
}

const publisher::retained_revision* publisher::find(std::int64_t revision) const
{
    const auto found = std::find_if(m_retained.begin(), m_retained.end(),
                                    [&](const retained_revision& item)
                                    {
                                        return item.revision == revision;
                                    });
    return found == m_retained.end() ? nullptr : &*found;
}

std::shared_ptr<const revision_update> publisher::update_from(std::int64_t base)
{
    const auto existing = m_updates.find(base);
    if (existing != m_updates.end())
    {
        return existing->second;
    }
    const retained_revision& latest = m_retained.back();
    auto update = std::make_shared<revision_update>();
    update->revision = latest.revision;
    update->base = base;
    update->digest = m_digest;
    update->body = base == 0 ? nlohmann::json(*latest.value) : diff(*find(base)->value, *latest.value);
    return m_updates.emplace(base, std::move(update)).first->second;
}

const std::map<instance_name, publisher::instance_state>& publisher::instances() const noexcept
{
    return m_instances;
}

int publisher::reporting_since(time_point since) const
{
    return static_cast<int>(std::count_if(m_instances.begin(), m_instances.end(),
                                          [&](const auto& item)
                                          {
                                              return item.second.last_report_at >= since;
                                          }));
}

std::shared_ptr<const configuration> publisher::current_configuration() const noexcept
{
    return m_retained.empty() ? nullptr : m_retained.back().value;
}

std::int64_t publisher::revision() const noexcept
{
    return m_retained.empty() ? 0 : m_retained.back().revision;
}

} // namespace flaxtiller::distribution
