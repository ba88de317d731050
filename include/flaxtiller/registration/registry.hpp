#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/refused_report.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief A note from one process to another that it received a heartbeat of a backend server.
///
/// It stands in for the complete registration at a receiver that has the same status already. It may overtake
/// the registration, and says nothing about a status that its receiver lacks.
struct heartbeat_receipt
{
    backend_server_name id;
    std::int64_t sequence = 0;
    std::int64_t born_ms = 0;
    /// The digest of the status that the heartbeat reported, see @ref registration::status_digest; nothing
    /// from a process of an older build.
    std::optional<std::uint32_t> status{};

    bool operator==(const heartbeat_receipt&) const = default;
};

void to_json(nlohmann::json& j, const heartbeat_receipt& value);
void from_json(const nlohmann::json& j, heartbeat_receipt& value);

/// @brief The backend servers that register themselves, as known to one process. Deterministic.
///
/// What is present is soft state: if all copies are lost, heartbeats fill the registry again. What is gone
/// isn't, since a backend server that deregistered says nothing more; see @ref restore.
///
/// Processes exchange only changes (@ref take_changes, @ref merge). For an unchanged backend server they
/// exchange heartbeat receipts (@ref take_heartbeat_receipts, @ref on_heartbeat_receipts). Which of two
/// reports with the same id counts, @ref registration::supersedes decides.
class registry
{
  public:
    /// A warm-up whose end moves by more than this counts as a change.
    static constexpr duration warmup_tolerance = duration::from_ms(250);

    /// The time for which the registry remembers an id that is gone, so that a delayed heartbeat doesn't
    /// restore it.
    static constexpr duration gone_retention = duration::from_ms(60000);

    /// The interval at which @ref forget looks through the registry.
    static constexpr duration forget_interval = duration::from_ms(5000);

    /// @ref take_refused returns this many reports at most.
    static constexpr std::size_t max_refused_reports = 32;

    /// @brief Handles a heartbeat that a backend server sent to this process.
    /// @return whether the registration changed
    bool on_heartbeat(const registration& report, time_point now);

    /// @brief Handles the deregistration of a backend server. An unknown id is remembered as gone, too.
    /// @param born_ms the start time of the run that ends; 0 for the known run
    /// @return whether the registration changed
    bool on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now);

    /// @brief Merges a registration that another process sent.
    /// @return whether the registration changed here
    bool merge(const registration& report, time_point now);

    /// @brief Marks the backend servers lost that @a all, the full list of another process, doesn't contain.
    /// Recently received ones stay, as the other process may not have received them yet.
    /// @return whether any registration changed
    bool mark_unlisted_lost(const std::vector<registration>& all, time_point now);

    /// @brief Adds the registrations that a previous run of this process stored. Those of present backend
    /// servers are left out if the id is known already. They stay unconfirmed until another report or receipt
    /// arrives; @ref mark_unconfirmed_lost marks those lost that are never confirmed. What is gone is
    /// remembered for @ref gone_retention from now on, since the time that has passed isn't known.
    /// @return the number of added backend servers that are present
    std::size_t restore(const std::vector<registration>& restored, time_point now);

    /// @brief Marks those restored backend servers lost that were not confirmed within @a age.
    /// @return whether any registration changed
    bool mark_unconfirmed_lost(duration age, time_point now);

    /// @brief Marks those unconfirmed backend servers lost that aren't in @a all, the full list of a process
    /// that didn't restart.
    /// @return whether any registration changed
    bool mark_unconfirmed_lost(const std::vector<registration>& all);

    /// @return whether any restored registration is unconfirmed
    bool has_unconfirmed() const noexcept;

    /// @brief Handles receipts of heartbeats that another process received. Each shows that its backend
    /// server runs. Only one with the known status raises the sequence: a number never stands for a status
    /// that isn't known here.
    /// @return what is known here of those backend servers whose status the sender of the receipts knows
    /// better
    std::vector<registration> on_heartbeat_receipts(const std::vector<heartbeat_receipt>& receipts,
                                                    time_point now);

    /// @brief Marks backend servers lost that sent no heartbeat for @a silence.
    /// @return whether any registration changed
    bool expire(duration silence, time_point now);

    /// @brief Removes backend servers that are gone for longer than @ref gone_retention, and those that are
    /// lost and sent no heartbeat for longer than that and @a silence.
    /// @return the ids that were removed
    /// @complexity O(n) once in @ref forget_interval, else O(1)
    std::vector<backend_server_name> forget(duration silence, time_point now);

    /// @return the changes since the last call, for other processes
    std::vector<registration> take_changes();

    /// @return reports since the last call that were refused as not newer, and that state something else than
    /// is known. A few are usual: late heartbeats, and lists that were sent before a change.
    std::vector<refused_report> take_refused();

    /// @return the number of such reports since the start
    std::uint64_t refused_count() const noexcept
    {
        return m_refused_count;
    }

    /// @return a receipt for each backend server that sent a heartbeat to this process since the last call
    std::vector<heartbeat_receipt> take_heartbeat_receipts();

    /// @return all registrations, also those that are gone or lost, with the warm-ups as of now; for a
    /// process that starts or fell behind
    std::vector<registration> all(time_point now) const;

    /// @return a hash over all present backend servers, equal on processes that agree
    /// @complexity O(1), since each instance sends the digest every second
    std::uint64_t digest() const noexcept;

    /// @return the registration under this id, or nothing if it is unknown
    std::optional<registration> find(const backend_server_name& id) const;

    /// @return what the process that sent these reports has missed: the registrations of those backend
    /// servers of which another status is known here that takes precedence
    std::vector<registration> missed_among(const std::vector<registration>& reported, time_point now) const;

    /// @return the backend servers that are neither gone nor lost
    std::vector<registration> present() const;

    bool empty() const noexcept;

    /// @return the number of known ids, including those that are gone or lost
    std::size_t size() const noexcept
    {
        return m_servers.size();
    }

  private:
    struct registered_server
    {
        registration report;
        time_point last_heartbeat_at{};
        /// The end of the warm-up by the last report that changed it.
        time_point warmup_ends_at{};
        time_point gone_at{};
        /// Whether a heartbeat arrived here since the last call of @ref take_heartbeat_receipts.
        bool receipt_pending = false;
        /// Whether the registration is known only from a previous run of this process.
        bool unconfirmed = false;
    };

    /// @return the registration with the warm-up as of now
    static registration report_at(const registered_server& item, time_point now);

    bool accept(registered_server& item, const registration& report, time_point now);
    void confirm(registered_server& item) noexcept;
    void note_refused(const registration& known, const registration& refused);
    void mark_lost(registered_server& item);
    template <typename Condition>
    bool mark_lost_if(Condition is_lost);

    std::map<backend_server_name, registered_server> m_servers;
    std::vector<registration> m_changes;
    std::vector<refused_report> m_refused;
    std::uint64_t m_refused_count = 0;
    time_point m_forget_at{};
    std::uint64_t m_digest = 0;
    std::size_t m_unconfirmed_count = 0;
};

} // namespace flaxtiller
