#pragma once

#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief The log as a replica holds it in memory: a snapshot and the entries after it.
class replicated_log
{
  public:
    replicated_log(snapshot base, const std::vector<log_entry>& entries);

    log_index first_index() const noexcept;
    log_index last_index() const noexcept;
    term_number last_term() const noexcept;

    /// @return the term of the entry at @a index, or nothing where it isn't held
    std::optional<term_number> term_at(log_index index) const noexcept;

    /// @return the entry at @a index; it must be held
    const log_entry& at(log_index index) const;

    /// @return up to @a most entries from @a from on, and no more than about @a most_bytes of commands
    std::vector<log_entry> slice(log_index from, std::size_t most, std::size_t most_bytes) const;

    /// @brief Adds an entry whose index follows the last.
    void append(log_entry entry);

    /// @brief Drops the entries from @a from on.
    void truncate_from(log_index from);

    /// @brief Puts a snapshot in the place of the entries up to its index.
    void compact(snapshot base);

    /// @brief Drops everything for @a base.
    void reset(snapshot base);

    const snapshot& base() const noexcept;

    /// @return the last member set in the log
    const member_set& members() const noexcept;

    /// @return the index of the last member set, or that of the snapshot
    log_index members_index() const noexcept;

  private:
    void find_members();

    snapshot m_base;
    std::deque<log_entry> m_entries;
    member_set m_members;
    log_index m_members_index = 0;
};

} // namespace flaxtiller::quorum
