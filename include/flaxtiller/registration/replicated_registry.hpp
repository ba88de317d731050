#pragma once

#include <flaxtiller/core/time_point.hpp>
#include <flaxtiller/registration/registration_messages.hpp>
#include <flaxtiller/registration/registration_publisher.hpp>
#include <flaxtiller/registration/registry.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace flaxtiller
{

/// @brief The registry of one control replica, and what it sends to which peers, and when. Deterministic.
///
/// Backend servers register with any control replica by heartbeats. This replica applies the heartbeats to
/// its registry, sends changes to all linked processes, exchanges received heartbeats with the other control
/// replicas, and reports a backend server as lost if no replica received its heartbeats.
///
/// After each call that handles something, @ref take_changes returns the changed registrations, and
/// @ref take_messages the messages to send.
class replicated_registry
{
  public:
    /// @brief A message to peers. Those that have no link lose it.
    struct outgoing
    {
        using content_type = std::variant<registration_update, registration_heard, registration_digest>;

        std::vector<std::string> to;
        content_type content;

        bool operator==(const outgoing&) const = default;
    };

    /// @brief What an update of another replica led to.
    struct update_outcome
    {
        /// Whether a registration changed here.
        bool changed = false;
        /// The number of registrations that the sender had missed, and is sent.
        std::size_t missed_by_sender = 0;

        bool operator==(const update_outcome&) const = default;
    };

    /// The longest interval at which replicas exchange received heartbeats.
    static constexpr duration max_exchange_interval = duration::from_ms(3000);
    /// The same as a fraction of the time without a heartbeat after which a backend server counts as lost: a
    /// leader that receives none itself must know of several before.
    static constexpr double exchange_silence_fraction = 0.25;
    /// The delay between the start and the restoration of saved registrations. Replicas that start at the
    /// same time are linked within this time, also between regions, and a replica that didn't restart has
    /// sent its registrations.
    static constexpr duration restore_delay = duration::from_ms(150);
    /// A restored backend server is marked as lost if no heartbeat arrives within this fraction of the time
    /// that applies to other backend servers. The fraction amounts to three heartbeats.
    static constexpr double unconfirmed_silence_fraction = 0.3;
    /// The interval at which replicas exchange received heartbeats while restored backend servers are
    /// unconfirmed.
    static constexpr duration unconfirmed_exchange_interval = duration::from_ms(500);

    /// When a replica is lost, the others pass on to each other which backend servers it reported as
    /// unavailable within this time: it may have ended before its report reached all of them. The time covers
    /// the detection of a silent link.
    static constexpr duration relay_window = duration::from_ms(4000);

    /// @param silence time without a heartbeat after which a backend server counts as lost
    /// @param timing when a peer whose digest differs is sent all registrations
    replicated_registry(duration silence, time_point now, digest_timing timing = {});

    /// @brief Takes in what a previous run of this process saved. Registrations of present backend servers
    /// are restored a moment later, unless a replica that didn't restart sends its registrations before; what
    /// is gone is remembered at once.
    /// @return the number of deregistrations that were restored
    std::size_t load(std::vector<registration> saved, time_point now);

    /// @brief Sets the other control replicas.
    void set_replicas(std::set<std::string> others);

    /// @brief Handles a heartbeat of a backend server that was sent to this replica.
    void on_heartbeat(const registration& received, time_point now);

    /// @brief Handles the notice of a backend server, sent to this replica, that it leaves.
    void on_leave(const backend_server_name& id, std::int64_t born_ms, time_point now);

    /// @brief Handles registrations that another control replica sent.
    update_outcome on_update(const std::string& from, const registration_update& update, time_point now);

    /// @brief Handles receipts of heartbeats that another control replica received.
    /// @return the number of registrations that are outdated here, and that the sender is asked for
    std::size_t on_heartbeat_receipts(const std::string& from, const std::vector<heartbeat_receipt>& receipts,
                                      time_point now);

    /// @brief Handles the digest of another process's registrations. If it differs from the own digest for
    /// some time, all registrations are sent to this process.
    /// @return whether all registrations will be sent
    bool on_digest(const std::string& from, std::uint64_t digest, time_point now);

    /// @brief Handles the link to a peer that was established.
    /// @param is_replica whether the peer is a control replica; it is sent all registrations, since it may
    /// have none
    void on_reachable(const std::string& peer, bool is_replica, time_point now);

    /// @brief Handles the loss of the link to a peer.
    /// @return the number of registrations of this peer that the other replicas are sent, see @ref
    /// relay_window
    std::size_t on_lost(const std::string& peer, time_point now);

    /// @brief Sends what is due, reports received heartbeats to the other replicas, and marks backend servers
    /// without heartbeats as lost.
    /// @param leads whether this replica is the leader. Only a leader marks backend servers as lost, since it
    /// receives the messages of a majority of the replicas.
    void tick(bool leads, time_point now);

    /// @return the registrations that changed since the last call
    std::vector<registration> take_changes();

    /// @return reports that were refused since the last call, see @ref registry::take_refused
    std::vector<refused_report> take_refused();

    /// @return the messages to send since the last call, in their order
    std::vector<outgoing> take_messages();

    /// @return the ids that were removed since the last call, since their backend servers ended long ago
    std::vector<backend_server_name> take_forgotten();

    /// @return the number of registrations that were restored, once after they were; else nothing
    std::optional<std::size_t> take_restored_count();

    /// @return the time at which received heartbeats are exchanged next
    time_point next_exchange_at() const noexcept
    {
        return m_exchange_at;
    }

    /// @return the registry of backend servers
    const registry& known() const noexcept
    {
        return m_registry;
    }

  private:
    /// @param received_here whether the changes were caused on this replica, not by another replica's message
    void publish_changes(bool received_here, time_point now);
    void send_due(time_point now);
    void exchange(bool leads, time_point now);
    void restore(time_point now);
    duration exchange_interval() const;
    bool is_settled(time_point now) const;
    /// @return the number of @a items, which are sent unless there are none
    std::size_t send_items(const std::string& peer, std::vector<registration> items);
    void remember_unavailable(const std::string& from, const registration& received, time_point now);
    /// @return what @a replica reported within @ref relay_window, as it is known now
    std::vector<registration> take_unavailable(const std::string& replica, time_point now);

    duration m_silence;
    /// The interval of exchanges while no restored backend server is unconfirmed.
    duration m_exchange_interval;
    time_point m_started_at;
    registry m_registry;
    registration_publisher m_publisher;
    time_point m_exchange_at{};
    std::set<std::string> m_reachable;
    /// The backend servers that each other replica lately reported as unavailable, with the times.
    std::map<std::string, std::deque<std::pair<time_point, backend_server_name>>> m_unavailable_by_replica;
    /// The registrations saved by a previous run, until they are restored or discarded.
    std::vector<registration> m_saved;
    std::optional<std::size_t> m_restored_count;
    std::vector<registration> m_changes;
    std::vector<outgoing> m_messages;
    std::vector<backend_server_name> m_forgotten;
};

} // namespace flaxtiller
