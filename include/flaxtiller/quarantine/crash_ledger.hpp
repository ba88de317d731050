#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/quarantine/crash_record.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace flaxtiller
{

/// @brief Which requests crash the backend servers that run them. Bounded; deterministic.
///
/// Crashes alone prove little: whatever else was under way on a backend server that goes away looks the same,
/// and a fan-out loses many parts at once where a rack fails, or another request crashes its backend servers.
/// So a request with enough crashes is *suspect*: it is held back, and tried on one backend server. If that
/// answers, the request is cleared; if it crashes, too, the request is *quarantined* and sent to no more.
///
/// Ledgers of several processes are joined by @ref merge, in any order and as often as one likes.
class crash_ledger
{
  public:
    /// Backend servers that a request must have crashed before it is held back.
    static constexpr std::size_t enough_crashes = 3;
    /// How long a quarantine lasts after the last crash; it ends with a mended backend server, not with time.
    static constexpr duration quarantined_for = duration::from_ms(3600.0 * 1000);
    /// How long fewer crashes are remembered, and for how long an answer outweighs them.
    static constexpr duration suspected_for = duration::from_ms(600.0 * 1000);
    static constexpr duration cleared_for = duration::from_ms(60.0 * 1000);
    static constexpr std::size_t most_records = 1024;
    static constexpr std::size_t most_crashes_kept = 8;

    enum class quarantine_state
    {
        /// It may be run like any other.
        clear,
        /// Only tried, one attempt at a time.
        suspect,
        /// It is sent to no backend server.
        quarantined,
    };

    /// @brief A backend server went away while it ran the request.
    void on_crash(const request_fingerprint& request, const server_crash& crash, time_point now);

    /// @brief A backend server ran the request to a good end.
    void on_answer(const request_fingerprint& request, time_point now);

    /// @brief Takes in what another process knows.
    /// @return whether it was news
    bool merge(const crash_record& told, time_point now);

    /// @return whether nothing is known of any request
    bool empty() const noexcept
    {
        return m_records.empty();
    }

    quarantine_state quarantine_state_of(const request_fingerprint& request, time_point now) const;

    /// @return whether a crash under it is known that no answer outweighs
    bool has_crashed(const request_fingerprint& request, time_point now) const;

    /// @return how long its quarantine lasts from now on; zero where it isn't quarantined
    duration quarantine_left(const request_fingerprint& request, time_point now) const;

    /// @return what changed since the last call
    std::vector<crash_record> take_changes(time_point now);

    /// @return what is known of a request; no crashes where that is nothing
    crash_record record_of(const request_fingerprint& request, time_point now) const;

    /// @return all that is known of requests with as many crashes, and of those that were cleared
    std::vector<crash_record> all(std::size_t least_crashes, time_point now) const;

    /// @brief Forgets what is too old to count.
    /// @complexity O(records)
    void expire(time_point now);

  private:
    struct record
    {
        std::vector<server_crash> crashes;
        bool cleared = false;
        time_point as_of{};
    };

    using records = std::map<request_fingerprint, record>;

    static quarantine_state quarantine_state_of(const record& item) noexcept;
    static duration kept_for(const record& item) noexcept;
    static bool is_over(const record& item, time_point now) noexcept;
    static bool add(record& item, const server_crash& crash);
    static crash_record told(const request_fingerprint& request, const record& item, time_point now);
    const record* find(const request_fingerprint& request, time_point now) const;
    record& open(const request_fingerprint& request, time_point now);
    void make_room(time_point now);

    records m_records;
    std::set<request_fingerprint> m_changed;
};

} // namespace flaxtiller
