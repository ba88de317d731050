#include <flaxtiller/quorum/replicated_log.hpp>

namespace flaxtiller::quorum
{

replicated_log::replicated_log(snapshot base, const std::vector<log_entry>& entries)
    : m_base(std::move(base)), m_entries(entries.begin(), entries.end())
{
    find_members();
}

log_index replicated_log::first_index() const noexcept
{
    return m_base.last_index + 1;
}

log_index replicated_log::last_index() const noexcept
{
    return m_base.last_index + static_cast<log_index>(m_entries.size());
}

term_number replicated_log::last_term() const noexcept
{
    return m_entries.empty() ? m_base.last_term : m_entries.back().term;
}

std::optional<term_number> replicated_log::term_at(log_index index) const noexcept
{
    if (index == m_base.last_index)
    {
        return m_base.last_term;
    }
    if (index < first_index() || index > last_index())
    {
        return std::nullopt;
    }
    return m_entries[static_cast<std::size_t>(index - first_index())].term;
}

const log_entry& replicated_log::at(log_index index) const
{
    return m_entries.at(static_cast<std::size_t>(index - first_index()));
}

std::vector<log_entry> replicated_log::slice(log_index from, std::size_t max_entries,
                                             std::size_t max_bytes) const
{
    std::vector<log_entry> picked;
    std::size_t bytes = 0;
    for (log_index i = from; i <= last_index() && picked.size() < max_entries && bytes <= max_bytes; ++i)
    {
        picked.push_back(at(i));
        bytes += picked.back().command.size();
    }
    return picked;
}

void replicated_log::append(log_entry entry)
{
    if (entry.kind == entry_kind::members)
    {
        m_members = entry.members;
        m_members_index = entry.index;
    }
    m_entries.push_back(std::move(entry));
}

void replicated_log::truncate_from(log_index from)
{
    while (last_index() >= from && !m_entries.empty())
    {
        m_entries.pop_back();
    }
    if (m_members_index >= from)
    {
        find_members();
    }
}

void replicated_log::compact(snapshot base)
{
    while (!m_entries.empty() && m_entries.front().index <= base.last_index)
    {
        m_entries.pop_front();
    }
    m_base = std::move(base);
    find_members();
}

void replicated_log::reset(snapshot base)
{
    m_entries.clear();
    m_base = std::move(base);
    find_members();
}

const snapshot& replicated_log::base() const noexcept
{
    return m_base;
}

const member_set& replicated_log::members() const noexcept
{
    return m_members;
}

log_index replicated_log::members_index() const noexcept
{
    return m_members_index;
}

void replicated_log::find_members()
{
    m_members = m_base.members;
    m_members_index = m_base.last_index;
    for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry)
    {
        if (entry->kind == entry_kind::members)
        {
            m_members = entry->members;
            m_members_index = entry->index;
            return;
        }
    }
}

} // namespace flaxtiller::quorum
