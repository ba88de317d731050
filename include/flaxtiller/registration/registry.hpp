#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration.hpp>

#include <map>
#include <utility>
#include <vector>

namespace flaxtiller
{

/// @brief That a backend server's heartbeat was received.
struct heartbeat_receipt
{
    backend_server_name id;
    std::int64_t sequence = 0;
    std::int64_t born_ms = 0;

    bool operator==(const heartbeat_receipt&) const = default;
};

void to_json(nlohmann::json& j, const heartbeat_receipt& value);
void from_json(const nlohmann::json& j, heartbeat_receipt& value);

/// @brief The backend servers that register themselves, as one process knows them. Soft state: after a loss
/// of everything it fills again from the heartbeats. Deterministic.
///
/// Only changes travel between processes (@ref take_changes, @ref merge); that an unchanged backend server
/// still lives travels as a @ref sign_of_life (@ref take_heard, @ref on_heard). Of two words on one id that
/// of the later life counts, and within a life the one with the greater sequence; `gone` ends a life.
class registry
{
  public:
    /// A warm-up that ends this much sooner or later than was told is told on.
    static constexpr duration warmup_tolerance = duration::from_ms(250);

    /// How long an id that is gone is remembered, so that late heartbeats don't bring it back.
    static constexpr duration gone_retention = duration::from_ms(60000);

    /// @brief A backend server's own heartbeat.
    /// @return whether its standing changed
    bool on_heartbeat(const registration& report, time_point now);

    /// @brief A backend server deregistered. An unknown id is remembered as gone, too.
    /// @param born_ms which of its lives ends; 0 for the one that is known
    bool on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now);

    /// @brief Another process's word on a backend server.
    /// @return whether the standing changed here
    bool merge(const registration& report, time_point now);

    /// @brief Calls lost what @a all, a process's whole knowledge, doesn't have.
    /// @return whether any standing changed
    bool mark_unlisted_lost(const std::vector<registration>& all, time_point now);

    /// @brief Takes in what an earlier life of this process knew. Only ids that are unknown are taken; one
    /// that isn't heard again soon is to be called lost by @ref drop_unconfirmed.
    /// @return how many were taken
    std::size_t restore(const std::vector<registration>& restored, time_point now);

    /// @brief Calls lost what was restored and not heard of for @a age since.
    /// @return whether any standing changed
    bool mark_unconfirmed_lost(duration age, time_point now);

    /// @brief Calls lost what was restored and isn't in @a all, the knowledge of a process that didn't
    /// restart.
    /// @return whether any standing changed
    bool mark_unconfirmed_lost(const std::vector<registration>& all);

    /// @return whether anything that was restored is still unheard
    bool has_unconfirmed() const noexcept;

    /// @brief Another process heard these backend servers lately.
    void on_heartbeat_receipts(const std::vector<heartbeat_receipt>& receipts, time_point now);

    /// @brief Calls lost what wasn't heard for @a silence, and forgets what is long gone.
    /// @return whether any standing changed
    bool expire(duration silence, time_point now);

    /// @return what changed since the last call, to be told to other processes
    std::vector<registration> take_changes();

    /// @return whose own heartbeats were received since the last call
    std::vector<heartbeat_receipt> take_heartbeat_receipts();

    /// @return all that is known, for a process that starts or fell behind, with the warm-ups as of now
    std::vector<registration> all(time_point now) const;

    /// @return a hash of all standings, equal on processes that agree
    /// @complexity O(1): each instance tells it every second
    std::uint64_t digest() const noexcept;

    /// @return backend servers that aren't gone or lost
    std::vector<registration> present() const;

    bool empty() const noexcept;

    /// @return how many ids are known, also those that are gone
    std::size_t size() const noexcept
    {
        return m_servers.size();
    }

  private:
    struct registered_server
    {
        registration report;
        time_point last_heartbeat_at{};
        /// When its warm-up is over, by its last word.
        time_point warmup_ends_at{};
        time_point gone_at{};
        /// Whether its own heartbeat came since @ref take_heard.
        bool receipt_pending = false;
        /// Whether it is only known from an earlier life of this process.
        bool unconfirmed = false;
    };

    bool accept(registered_server& item, const registration& report, time_point now);
    void confirm(registered_server& item) noexcept;
    void mark_lost(registered_server& item);
    template <typename Condition>
    bool mark_lost_if(Condition is_lost);

    std::map<backend_server_name, registered_server> m_servers;
    std::vector<registration> m_changes;
    std::uint64_t m_digest = 0;
    std::size_t m_unconfirmed_count = 0;
};

} // namespace flaxtiller
