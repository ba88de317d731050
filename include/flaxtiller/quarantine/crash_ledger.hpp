#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace flaxtiller
{

/// @brief Detects requests that crash the backend servers that run them, identified by their
/// @ref request_fingerprint. Bounded in memory; deterministic.
///
/// Crashes alone prove little. All requests that run on a backend server when it crashes look the same, and a
/// fan-out loses many parts at once if a rack fails or if another request crashes its backend servers. A
/// request with enough crashes is therefore only *suspect*: its attempts are held back, and one trial attempt
/// is sent to one backend server. If that backend server answers, the request is cleared. If it crashes too,
/// the request is *quarantined* and sent to no backend server.
///
/// Ledgers of several processes are combined by @ref merge, which is commutative and idempotent.
class crash_ledger
{
  public:
    /// A request is suspect after this many crashes of different backend servers or of their different runs.
    static constexpr std::size_t suspicion_threshold = 3;
    /// The time that a quarantine lasts after the last crash. It is long, since only a corrected backend
    /// server removes the cause.
    static constexpr duration quarantine_duration = duration::from_ms(3600.0 * 1000);
    /// The times for which unproven crashes are kept, and for which an answer outweighs crashes.
    static constexpr duration suspicion_duration = duration::from_ms(600.0 * 1000);
    static constexpr duration clearance_duration = duration::from_ms(60.0 * 1000);
    static constexpr std::size_t max_records = 1024;
    static constexpr std::size_t max_crashes_per_record = 8;
    /// A message with records is lost if its link breaks or its receiver ends, so recent records are sent
    /// again at this interval until they reach this age.
    static constexpr duration resend_interval = duration::from_ms(1500);
    static constexpr duration max_resend_age = duration::from_ms(15000);
    static constexpr std::size_t max_resent_records = 64;
    /// Records with fewer crashes aren't sent again. A request with a single crash is treated normally, and a
    /// large failure of backend servers leaves many such records.
    static constexpr std::size_t min_resent_crashes = 2;

    /// @brief The treatment of a request.
    enum class quarantine_state
    {
        /// The request is run normally.
        clear,
        /// The request is held back, except for one trial attempt at a time.
        suspect,
        /// The request is sent to no backend server.
        quarantined,
    };

    /// @brief Records that a backend server crashed while it ran the request.
    void on_crash(const request_fingerprint& request, const server_crash& crash, time_point now);

    /// @brief Records that a backend server answered the request; this clears a request with crashes.
    void on_answer(const request_fingerprint& request, time_point now);

    /// @brief Adds a crash record of another process.
    /// @return whether the ledger has changed
    bool merge(const crash_record& received, time_point now);

    /// @return whether the ledger holds no record
    bool empty() const noexcept
    {
        return m_records.empty();
    }

    /// @return the state of a request; clear if the ledger holds no record of it
    quarantine_state quarantine_state_of(const request_fingerprint& request, time_point now) const;

    /// @return whether the ledger holds a crash of the request that no answer outweighs
    bool has_uncleared_crash(const request_fingerprint& request, time_point now) const;

    /// @return the time until the request's quarantine ends; zero if the request isn't quarantined
    duration quarantine_time_left(const request_fingerprint& request, time_point now) const;

    /// @return the records that have changed since the last call
    std::vector<crash_record> take_changes(time_point now);

    /// @return the record of a request; without crashes if the ledger holds none
    crash_record record_of(const request_fingerprint& request, time_point now) const;

    /// @return the records with at least @a min_crashes crashes and those of cleared requests
    std::vector<crash_record> all(std::size_t min_crashes, time_point now) const;

    /// @return the records to send again: those with at least @ref min_resent_crashes crashes and those of
    /// cleared requests, up to the age @ref max_resend_age; at most @ref max_resent_records, the newest first
    /// @complexity O(n log n), n: records
    std::vector<crash_record> recent(time_point now) const;

    /// @brief Deletes expired records.
    /// @complexity O(records)
    void expire(time_point now);

  private:
    struct record
    {
        std::vector<server_crash> crashes;
        bool cleared = false;
        /// The time of the last crash, or of the answer that cleared the request.
        time_point as_of{};
    };

    using records = std::map<request_fingerprint, record>;

    static quarantine_state quarantine_state_of(const record& item) noexcept;
    static duration retention_of(const record& item) noexcept;
    static bool is_expired(const record& item, time_point now) noexcept;
    static bool add(record& item, const server_crash& crash);
    static crash_record to_record(const request_fingerprint& request, const record& item, time_point now);
    const record* find(const request_fingerprint& request, time_point now) const;
    record& find_or_create(const request_fingerprint& request, time_point now);
    void evict_if_full(time_point now);

    records m_records;
    std::set<request_fingerprint> m_changed;
};

} // namespace flaxtiller
