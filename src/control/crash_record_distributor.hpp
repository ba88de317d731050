#pragma once

#include "crash_record_file.hpp"
#include "links/peer_links.hpp"

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>

#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief Collects crash records on a control replica and distributes them.
///
/// A crash record describes a request that crashes backend servers. Entries report such crashes to a control
/// replica. The distributor merges the reports of all entries, sends changed records to the other control
/// replicas and to the entries, and saves the records for the next start of the process. Not thread-safe.
class crash_record_distributor
{
  public:
    crash_record_distributor(peer_links& links, const std::string& path) : m_links(links), m_file(path)
    {
    }

    /// @brief Restores the records that a previous run of this process saved.
    void load(time_point now);

    /// @brief Merges records that another process sent.
    /// @param from name of the sender
    /// @param by_replica whether the sender is a control replica; its records aren't sent to the other
    /// replicas, since the sender does that itself
    void on_crash_update(const std::string& from, const crash_news& update, bool by_replica, time_point now);

    /// @brief Sends all records to a peer whose link was established, since the peer may have none.
    void on_reachable(const std::string& peer, time_point now);

    /// @return whether @ref tick has work to do
    bool is_due(time_point now) const noexcept
    {
        return now >= m_send_at || now >= m_save_at || is_resend_due(now);
    }

    /// @brief Sends changed records, sends recent records again at intervals, and saves the records.
    /// @param replicas the other control replicas
    /// @param entries the entries that report to this replica
    void tick(const std::set<std::string>& replicas, const std::vector<std::string>& entries, time_point now);

    /// @return the merged records
    const crash_ledger& known() const noexcept
    {
        return m_ledger;
    }

  private:
    bool is_resend_due(time_point now) const noexcept
    {
        return !m_ledger.empty() && now >= m_resend_at;
    }

    void save(time_point now);

    void send_changes(const std::set<std::string>& replicas, const std::vector<std::string>& entries,
                      time_point now);

    peer_links& m_links;
    crash_record_file m_file;
    crash_ledger m_ledger;
    /// The requests whose records were changed by entries and weren't sent to the other replicas yet.
    std::set<request_fingerprint> m_changed_by_entries;
    time_point m_send_at = time_point::never();
    time_point m_resend_at{};
    time_point m_save_at = time_point::never();
    time_point m_saved_at{};
};

} // namespace flaxtiller::shell
