#include <flaxtiller/core/hash.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace flaxtiller
{

namespace
{

/// A word this fresh may just not have reached the other process yet.
constexpr duration settle_bound = duration::from_ms(2000);

bool is_gone(const registration& item) noexcept
{
    return item.state == registration_state::gone;
}

/// A sum of these is a registry's digest, so that the order of arrival doesn't matter and forgotten ids don't
/// show.
std::uint64_t digest_of(const registration& item)
{
    if (item.id.empty() || !item.is_present())
    {
        return 0;
    }
    const std::uint64_t life = hash64(item.id.str(), static_cast<std::uint64_t>(item.born_ms));
    return hash64(item.id.str(), life + static_cast<std::uint64_t>(item.state));
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

void to_json(nlohmann::json& j, const sign_of_life& value)
{
    // A list, not an object: each replica tells the others hundreds of them every few seconds.
    j = nlohmann::json::array({value.id, value.sequence, value.born_ms});
}

void from_json(const nlohmann::json& j, sign_of_life& value)
{
    value.id = j.at(0).get<backend_server_name>();
    value.sequence = j.at(1).get<std::int64_t>();
    value.born_ms = j.at(2).get<std::int64_t>();
}

bool registry::take(known& item, const registration& said, time_point now)
{
    const bool unseen = item.said.id.empty();
    const bool same_life = said.born_ms == item.said.born_ms;
    if (!unseen && !(said.is_later_than(item.said) && !(same_life && is_gone(item.said))))
    {
        // Its last word needs no number of its own, but must be of the life that is known.
        const bool leaves = same_life && is_gone(said) && !is_gone(item.said);
        if (!leaves)
        {
            return false;
        }
    }
    confirm(item);
    const time_point cold_until = now + said.warmup_left;
    const bool colder = cold_until > std::max(item.cold_until, now) + warmup_tolerance;
    const bool warmer = cold_until + warmup_tolerance < item.cold_until;
    const bool changed = unseen || colder || warmer || !item.said.same_standing(said);
    if (said.state == registration_state::gone)
    {
        item.gone_at = now;
    }
    const std::int64_t sequence = same_life ? std::max(item.said.sequence, said.sequence) : said.sequence;
    item.cold_until = changed ? cold_until : item.cold_until;
    m_digest -= digest_of(item.said);
    item.said = said;
    item.said.sequence = sequence;
    m_digest += digest_of(item.said);
    item.heard_at = now;
    if (changed)
    {
        m_changes.push_back(item.said);
    }
    return changed;
}

bool registry::on_heartbeat(const registration& said, time_point now)
{
    known& item = m_known[said.id];
    const bool changed = take(item, said, now);
    item.fresh = item.said.state != registration_state::gone;
    return changed;
}

bool registry::on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now)
{
    known& item = m_known[id];
    registration said = item.said;
    said.id = id;
    said.born_ms = born_ms != 0 ? born_ms : said.born_ms;
    said.state = registration_state::gone;
    return take(item, said, now);
}

bool registry::merge(const registration& said, time_point now)
{
    return take(m_known[said.id], said, now);
}

void registry::on_heard(const std::vector<sign_of_life>& heard, time_point now)
{
    for (const sign_of_life& sign : heard)
    {
        const auto found = m_known.find(sign.id);
        // A number of another life tells nothing of this one.
        if (found != m_known.end() && sign.born_ms == found->second.said.born_ms &&
            sign.sequence > found->second.said.sequence &&
            found->second.said.state != registration_state::lost)
        {
            found->second.said.sequence = sign.sequence;
            found->second.heard_at = now;
            confirm(found->second);
        }
    }
}

void registry::confirm(known& item) noexcept
{
    m_unconfirmed -= item.unconfirmed ? 1 : 0;
    item.unconfirmed = false;
}

std::size_t registry::restore(const std::vector<registration>& before, time_point now)
{
    std::size_t taken = 0;
    for (const registration& said : before)
    {
        if (!said.is_present() || m_known.count(said.id) > 0)
        {
            continue;
        }
        known& item = m_known[said.id];
        (void)take(item, said, now);
        item.unconfirmed = true;
        ++m_unconfirmed;
        ++taken;
    }
    return taken;
}

template <typename Condition>
bool registry::lose_if(Condition loses)
{
    bool changed = false;
    for (auto& [id, item] : m_known)
    {
        if (loses(id, item))
        {
            lose(item);
            changed = true;
        }
    }
    return changed;
}

bool registry::drop_unconfirmed(duration age, time_point now)
{
    return has_unconfirmed() && lose_if(
                                    [&](const backend_server_name&, const known& item)
                                    {
                                        return item.unconfirmed && now - item.heard_at > age;
                                    });
}

bool registry::drop_unconfirmed(const std::vector<registration>& all)
{
    if (!has_unconfirmed())
    {
        return false;
    }
    const std::set<backend_server_name> listed = ids_of(all);
    return lose_if(
        [&](const backend_server_name& id, const known& item)
        {
            return item.unconfirmed && listed.count(id) == 0;
        });
}

bool registry::has_unconfirmed() const noexcept
{
    return m_unconfirmed > 0;
}

void registry::lose(known& item)
{
    confirm(item);
    m_digest -= digest_of(item.said);
    item.said.state = registration_state::lost;
    // Ahead of the last heartbeat, so that this word wins where that one is known.
    ++item.said.sequence;
    m_changes.push_back(item.said);
}

bool registry::keep_only(const std::vector<registration>& all, time_point now)
{
    const std::set<backend_server_name> listed = ids_of(all);
    return lose_if(
        [&](const backend_server_name& id, const known& item)
        {
            return item.said.is_present() && listed.count(id) == 0 && now - item.heard_at > settle_bound;
        });
}

bool registry::expire(duration silence, time_point now)
{
    const bool changed = lose_if(
        [&](const backend_server_name&, const known& item)
        {
            return item.said.is_present() && now - item.heard_at > silence;
        });
    std::erase_if(m_known,
                  [&](const auto& entry)
                  {
                      const known& item = entry.second;
                      const bool gone =
                          item.said.state == registration_state::gone && now - item.gone_at > gone_kept;
                      const bool lost = item.said.state == registration_state::lost &&
                                        now - item.heard_at > silence + gone_kept;
                      return gone || lost;
                  });
    return changed;
}

std::vector<registration> registry::take_changes()
{
    return std::exchange(m_changes, {});
}

std::vector<sign_of_life> registry::take_heard()
{
    std::vector<sign_of_life> heard;
    for (auto& [id, item] : m_known)
    {
        if (item.fresh)
        {
            item.fresh = false;
            heard.push_back({id, item.said.sequence, item.said.born_ms});
        }
    }
    return heard;
}

std::vector<registration> registry::all(time_point now) const
{
    std::vector<registration> items;
    items.reserve(m_known.size());
    for (const auto& [id, item] : m_known)
    {
        items.push_back(item.said);
        items.back().warmup_left = std::max(item.cold_until - now, duration{});
    }
    return items;
}

std::uint64_t registry::digest() const noexcept
{
    return m_digest;
}

std::vector<registration> registry::present() const
{
    std::vector<registration> items;
    for (const auto& [id, item] : m_known)
    {
        if (item.said.is_present())
        {
            items.push_back(item.said);
        }
    }
    return items;
}

bool registry::empty() const noexcept
{
    return m_known.empty();
}

} // namespace flaxtiller
