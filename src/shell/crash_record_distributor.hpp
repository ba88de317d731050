#pragma once

#include "crash_record_file.hpp"
#include "peer_links.hpp"

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_ledger.hpp>

#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief A control replica's part in spreading what entries learn of requests that crash backend servers: it
/// joins their words, keeps them over a restart, and tells the other replicas and the entries.
class crash_record_distributor
{
  public:
    crash_record_distributor(peer_links& links, const std::string& path) : m_links(links), m_file(path)
    {
    }

    /// @brief Takes in what an earlier life of this process knew.
    void load(time_point now);

    /// @brief Another process's word.
    /// @param by_replica whether another control replica told it, which tells all replicas itself
    void on_crash_update(const std::string& from, const crash_news& update, bool by_replica, time_point now);

    /// @brief A link came up: its other end may know nothing.
    void on_reachable(const std::string& peer, time_point now);

    /// @return whether @ref tick has anything to do
    bool is_due(time_point now) const noexcept
    {
        return now >= m_send_at || now >= m_save_at || is_resend_due(now);
    }

    /// @brief Tells what changed, some of it again, and saves it.
    /// @param entries the entries that report to this replica
    void tick(const std::set<std::string>& replicas, const std::vector<std::string>& entries, time_point now);

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
    /// Of what changed and wasn't told on yet, that which entries told.
    std::set<request_fingerprint> m_changed_by_entries;
    time_point m_send_at = time_point::never();
    time_point m_resend_at{};
    time_point m_save_at = time_point::never();
    time_point m_saved_at{};
};

} // namespace flaxtiller::shell
