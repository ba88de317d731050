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
    m_digest = m_kept.empty() ? value->digest() : digest_from(*m_kept.back().value, *value);
    m_kept.push_back({revision, std::move(value)});
    if (m_kept.size() > revisions_kept)
    {
        m_kept.pop_front();
    }
    m_updates.clear();
    for (const auto& [name, known] : m_instances)
    {
        m_to_look_at.insert(name);
    }
}

/// A revision mostly differs in few items: working out the digest of all was 6% of what a change costs a
/// replica.
std::uint64_t publisher::digest_from(const configuration& before, const configuration& now) const
{
    return digest_after(before, m_digest, now, diff(before, now));
}

void publisher::on_report(const instance_name& from, const revision_report& report, time_point now)
{
    standing& known = m_instances[from];
    known.in_force = report.revision;
    known.needs_whole = report.needs_whole;
    known.wants_updates = report.wants_updates;
    known.heard_at = now;
    const kept* same = find(report.revision);
    const bool differs = same != nullptr && report.revision == revision() && report.digest != m_digest;
    known.needs_whole = known.needs_whole || differs;
    if (known.in_force < this->revision())
    {
        m_to_look_at.insert(from);
    }
}

void publisher::forget(const instance_name& instance)
{
    m_instances.erase(instance);
    m_to_look_at.erase(instance);
}

std::vector<publisher::outgoing> publisher::take_updates(time_point now)
{
    std::vector<outgoing> updates;
    // Of those that get nothing now, the next report tells whether they need it.
    for (const instance_name& name : std::exchange(m_to_look_at, {}))
    {
        ++m_looked_at;
        standing& known = m_instances.at(name);
        if (!needs_update(known, now))
        {
            continue;
        }
        known.patience = known.sent == revision() ? known.patience * 2.0 : resend_after;
        const std::int64_t base = known.needs_whole || find(known.in_force) == nullptr ? 0 : known.in_force;
        updates.push_back({name, update_from(base)});
        known.sent = revision();
        known.sent_at = now;
    }
    return updates;
}

bool publisher::needs_update(const standing& known, time_point now) const
{
    const bool follows = known.wants_updates && now - known.heard_at < follower_age;
    const bool behind = known.in_force < revision();
    const bool under_way = known.sent == revision() && known.heard_at - known.sent_at < known.patience;
    return follows && behind && !under_way;
}

const publisher::kept* publisher::find(std::int64_t revision) const
{
    const auto found = std::find_if(m_kept.begin(), m_kept.end(),
                                    [&](const kept& item)
                                    {
                                        return item.revision == revision;
                                    });
    return found == m_kept.end() ? nullptr : &*found;
}

std::shared_ptr<const revision_update> publisher::update_from(std::int64_t base)
{
    const auto made = m_updates.find(base);
    if (made != m_updates.end())
    {
        return made->second;
    }
    const kept& present = m_kept.back();
    auto update = std::make_shared<revision_update>();
    update->revision = present.revision;
    update->base = base;
    update->digest = m_digest;
    update->body = base == 0 ? nlohmann::json(*present.value) : diff(*find(base)->value, *present.value);
    return m_updates.emplace(base, std::move(update)).first->second;
}

const std::map<instance_name, publisher::standing>& publisher::instances() const noexcept
{
    return m_instances;
}

int publisher::heard_since(time_point since) const
{
    return static_cast<int>(std::count_if(m_instances.begin(), m_instances.end(),
                                          [&](const auto& item)
                                          {
                                              return item.second.heard_at >= since;
                                          }));
}

std::shared_ptr<const configuration> publisher::present() const noexcept
{
    return m_kept.empty() ? nullptr : m_kept.back().value;
}

std::int64_t publisher::revision() const noexcept
{
    return m_kept.empty() ? 0 : m_kept.back().revision;
}

} // namespace flaxtiller::distribution
