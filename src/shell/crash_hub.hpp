#pragma once

#include "crash_file.hpp"
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
class crash_hub
{
  public:
    crash_hub(peer_links& links, const std::string& path) : m_links(links), m_file(path)
    {
    }

    /// @brief Takes in what an earlier life of this process knew.
    void load(time_point now);

    /// @brief Another process's word.
    /// @param by_replica whether another control replica told it, which tells all replicas itself
    void on_news(const std::string& from, const crash_news& news, bool by_replica, time_point now);

    /// @brief A link came up: its other end may know nothing.
    void on_reachable(const std::string& peer, time_point now);

    /// @return whether @ref tick has anything to do
    bool is_due(time_point now) const noexcept
    {
        return now >= m_tell_at || now >= m_save_at || is_telling_again_due(now);
    }

    /// @brief Tells what changed, some of it again, and saves it.
    /// @param entries the entries that report to this replica
    void tick(const std::set<std::string>& replicas, const std::vector<std::string>& entries, time_point now);

    const crash_ledger& known() const noexcept
    {
        return m_ledger;
    }

  private:
    bool is_telling_again_due(time_point now) const noexcept
    {
        return !m_ledger.empty() && now >= m_tell_again_at;
    }

    void save(time_point now);

    void tell_changes(const std::set<std::string>& replicas, const std::vector<std::string>& entries,
                      time_point now);

    peer_links& m_links;
    crash_file m_file;
    crash_ledger m_ledger;
    /// Of what changed and wasn't told on yet, that which entries told.
    std::set<request_fingerprint> m_own;
    time_point m_tell_at = time_point::never();
    time_point m_tell_again_at{};
    time_point m_save_at = time_point::never();
    time_point m_saved_at{};
};

} // namespace flaxtiller::shell
