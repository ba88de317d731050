#include <flaxtiller/distribution/subscriber.hpp>

namespace flaxtiller::distribution
{

bool subscriber::on_update(const revision_update& update)
{
    if (update.revision <= m_revision)
    {
        return false;
    }
    if (update.base != 0 && update.base != m_revision)
    {
        m_needs_whole = true;
        return false;
    }
    findings found;
    configuration next = update.base == 0 ? parse_configuration(update.body, found)
                                          : apply_patch(*m_current, update.body, found);
    const bool is_full_document = update.base == 0;
    if (!m_current->key_secret.empty() && next.key_secret != m_current->key_secret)
    {
        // The secret of a deployment never changes, so that this is the configuration of another one.
        return false;
    }
    if (found.has_errors() ||
        update.digest !=
            (is_full_document ? next.digest() : digest_after(*m_current, m_digest, next, update.body)))
    {
        m_needs_whole = true;
        return false;
    }
    m_current = std::make_shared<const configuration>(std::move(next));
    m_revision = update.revision;
    m_digest = update.digest;
    m_needs_whole = false;
    // An update by itself does not confirm the revision, as an outdated relay may have sent it.
    m_confirmed = m_confirmed || (m_current_revision > 0 && m_revision >= m_current_revision);
    return true;
}

void subscriber::on_confirmation(const revision_confirmation& confirmation, time_point now)
{
    m_current_revision = std::max(m_current_revision, confirmation.revision);
    if (m_revision >= confirmation.revision && confirmation.revision > 0)
    {
        m_confirmed = true;
        m_confirmed_at = now;
    }
}

revision_report subscriber::report() const
{
    return {m_revision, m_digest, m_needs_whole};
}

const std::shared_ptr<const configuration>& subscriber::current() const noexcept
{
    return m_current;
}

std::int64_t subscriber::revision() const noexcept
{
    return m_revision;
}

bool subscriber::is_confirmed() const noexcept
{
    return m_confirmed;
}

std::optional<duration> subscriber::age(time_point now) const
{
    if (!m_confirmed_at)
    {
        return std::nullopt;
    }
    return now - *m_confirmed_at;
}

} // namespace flaxtiller::distribution
