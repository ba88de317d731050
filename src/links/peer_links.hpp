#pragma once

#include "link_endpoint.hpp"
#include "link_message.hpp"
#include "linked_peer.hpp"
#include "process/metrics.hpp"
#include "process/settings.hpp"

#include <flaxtiller/core/clock.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace flaxtiller::shell
{

/// @brief A message in its encoded form, which may be sent to several peers.
struct encoded_message
{
    explicit encoded_message(const link_message& message)
        : kind(message.index()), bytes(std::make_shared<const std::string>(encode(message)))
    {
    }

    /// The position of the message's type in @ref link_message.
    std::size_t kind = 0;
    std::shared_ptr<const std::string> bytes;
};

/// @brief The links of this process to its peers, which are entry instances and control replicas known by
/// name. Opens the links, reopens those that failed, and detects which peers are reachable.
///
/// A peer is reachable while messages pass in both directions: one from it arrived within the silence limit,
/// and it doesn't report that it receives nothing. A peer that is frozen or cut off from the network thus
/// becomes unreachable although its connection is still open.
///
/// An open link may stop carrying messages while new links work. A silent link is kept, in case the peer was
/// only frozen, and a new one is dialled beside it. Once that is open, the old one is closed and the peer is
/// notified as unreachable and then reachable, since messages may be lost with the old link.
///
/// Thread-safe; the handlers are called on the thread of the link endpoint or on the thread that calls
/// @ref tick.
class peer_links
{
  public:
    /// @brief The functions by which the links notify their owner.
    struct handlers
    {
        /// A message other than a handshake or a heartbeat arrived. Both parameters are shared so that a
        /// handler can keep them without a copy: a full configuration is a large JSON tree.
        std::function<void(const std::shared_ptr<const hello>& from,
                           const std::shared_ptr<const link_message>& message)>
            received;
        /// A peer became reachable or unreachable.
        std::function<void(const std::string& name, bool reachable)> reachable;
    };

    /// @param self the handshake that this process sends on each link
    /// @param dialled_timing the timing for the peers that this process dials
    /// @param accepted_timing the timing for all other peers
    peer_links(hello self, metrics& link_metrics, link_timing dialled_timing, link_timing accepted_timing,
               handlers callbacks);

    /// @brief Accepts links at this address.
    /// @return false if the address can't be used; @a why then holds the reason
    bool listen(const address& at, std::string& why);

    void start();

    /// @brief Sets the deployment of this process. Links to processes that are known to be of another one are
    /// closed, now and when their handshake arrives, and nothing that they send is passed on. An unknown
    /// deployment has no effect, since a process never leaves its deployment.
    void set_deployment(const deployment_id& own);

    /// @brief Sets the peers to which this process dials and keeps a link. Links that this process dialled to
    /// peers outside of this list are closed.
    void set_peers(const std::vector<named_address>& peers);

    /// @brief Sends a message to a peer; has no effect if there is no link to the peer.
    void send(const std::string& name, const link_message& message);

    /// @brief Sends a message to several peers; the message is encoded once.
    void send(const std::vector<std::string>& names, const link_message& message);

    /// @brief Dials peers without a link, sends heartbeats on links that carried no other message, and
    /// detects peers that became unreachable. Must be called at least twice per heartbeat interval.
    void tick();

    /// @return the handshake that a peer sent on its newest link, or nothing if there is no link
    std::optional<hello> identity(const std::string& name) const;

    /// @return the names of the reachable peers
    std::set<std::string> reachable() const;

  private:
    using link_id = link_endpoint::link_id;
    using peer = linked_peer;

    /// A call of @ref tick that is late by this many heartbeat intervals shows that this process was paused.
    static constexpr double max_heartbeats_between_ticks = 1.0;

    /// The links of a peer are closed after this many silence limits without a message; the peer is gone, or
    /// cut off for long.
    static constexpr double silences_until_closed = 8.0;
    /// Interval between the log lines with the bytes sent so far. One line in ten seconds is negligible
    /// beside the log lines of the requests.
    static constexpr duration log_sent_interval = duration::from_ms(10000);

    /// @brief A link that is open or being dialled.
    struct link
    {
        /// The name of the peer that was dialled; empty for an accepted link.
        std::string dialled;
        /// The handshake of the peer; null until it arrives.
        std::shared_ptr<const hello> from;
        /// Whether the peer is of another deployment; the link is being closed.
        bool refused = false;
    };

    /// @brief A message that arrived, and what it shows of its sender.
    struct arrival
    {
        std::shared_ptr<const hello> from;
        bool was_reachable = false;
        bool is_reachable = false;
        /// Whether the message is the handshake of a link that replaces an older one.
        bool replaces = false;
    };

    /// @brief Records the arrival of a message, and opens the link if the message is a handshake.
    /// @param greeting the handshake; null for another message
    /// @param beat the heartbeat; null for another message
    /// @return nothing if the message is to be discarded
    std::optional<arrival> record_arrival(link_id id, const hello* greeting, const heartbeat* beat);
    /// @brief Leaves the time for which this process was paused out of the silence of the peers. Their
    /// messages wait in the buffers of the links. Only the first pause since the last message of a peer
    /// counts: a message that waited during that pause has been read by the next one. The caller holds the
    /// mutex.
    void discount_pause(time_point now);
    /// @brief Logs the bytes sent so far per kind of message, if the log interval has passed.
    void log_sent_bytes(time_point now);
    const link_timing& timing_of(const peer& known) const noexcept;
    /// @brief Dials the peer if it lacks a dialled link, or gives up a dial or a silent link. The caller
    /// holds the mutex.
    void maintain_dialled_link(const std::string& name, peer& known, time_point now);
    /// @brief Sends a heartbeat if one is due. The caller holds the mutex.
    void send_heartbeat(peer& known, time_point now);
    /// @brief Closes a link if the handshake of the peer names another deployment than the one of this
    /// process. The caller holds the mutex.
    /// @return whether the link is refused
    bool refuse_foreign(link_id id, const hello& greeting, time_point now);
    /// @brief Handles a handshake. Of the links that lead to a peer in the same direction, only the newest is
    /// kept. The caller holds the mutex.
    /// @return whether the link replaces an older one
    bool open_link(link_id id, const hello& greeting, time_point now);
    /// @brief Closes the links to earlier runs of the peer's process. What they still carry was sent before
    /// the newest link was opened, possibly long before, and is discarded. The caller holds the mutex.
    /// @return whether there were such links
    bool close_links_of_earlier_runs(peer& known);
    /// @return the run that the peer's handshake on the link named; 0 without a handshake. The caller holds
    /// the mutex.
    std::uint64_t run_of(link_id id) const;
    /// @brief Logs whether a peer is reachable, and notifies the owner.
    void notify(const hello& from, bool reachable);
    void close_all(const std::set<link_id>& links);
    void on_opened(link_id id);
    void on_closed(link_id id);
    void on_received(link_id id, const std::string& bytes);
    void post(link_id id, const encoded_message& message);
    /// @brief Removes a closed link from a peer. The caller holds the mutex.
    /// @return true if the peer was reachable and has no link left
    bool drop_link(const std::string& name, link_id id);

    hello m_self;
    metrics& m_metrics;
    const link_timing m_dialled_timing;
    const link_timing m_accepted_timing;
    handlers m_callbacks;
    monotonic_clock m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::map<link_id, link> m_links;
    /// The deployment for which each peer was last refused, by name, so that this is logged once.
    std::map<std::string, deployment_id> m_refused;
    /// Time of the last call of @ref tick; accessed only by the thread that calls it.
    time_point m_last_tick_at = time_point::never();
    /// Time of the next log line with the bytes sent; accessed only by the thread that calls @ref tick.
    time_point m_next_log_at{};
    // The last member, so that its thread ends before the members that the thread uses are destroyed.
    link_endpoint m_endpoint;
};

} // namespace flaxtiller::shell
