#pragma once

#include <flaxtiller/quorum/log_entry.hpp>
#include <flaxtiller/quorum/snapshot.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace flaxtiller::quorum
{

/// @brief A replica's log in memory: a snapshot and the entries that follow it.
class replicated_log
{
  public:
    replicated_log(snapshot base, const std::vector<log_entry>& entries);

    log_index first_index() const noexcept;
    log_index last_index() const noexcept;
    term_number last_term() const noexcept;

    /// @return the term of the entry at @a index, or nothing if the log does not hold this entry
    std::optional<term_number> term_at(log_index index) const noexcept;

    /// @return the entry at @a index, which the log must hold
    const log_entry& at(log_index index) const;

    /// @param from the index of the first entry
    /// @param max_entries the maximum number of entries
    /// @param max_bytes once the commands of the entries exceed this size, no further entry is added
    /// @return consecutive entries
    std::vector<log_entry> slice(log_index from, std::size_t max_entries, std::size_t max_bytes) const;

    /// @brief Appends an entry. Its index must follow the last index.
    void append(log_entry entry);

    /// @brief Removes the entries from index @a from on.
    void truncate_from(log_index from);

    /// @brief Replaces the entries up to the index of @a base by @a base.
    void compact(snapshot base);

    /// @brief Replaces the complete log by @a base.
    void reset(snapshot base);

    const snapshot& base() const noexcept;

    /// @return the newest member set in the log, committed or not
    const member_set& members() const noexcept;

    /// @return the index of the entry with the newest member set, or of the snapshot if no entry holds one
    log_index members_index() const noexcept;

  private:
    void find_members();

    snapshot m_base;
    std::deque<log_entry> m_entries;
    member_set m_members;
    log_index m_members_index = 0;
};

} // namespace flaxtiller::quorum
