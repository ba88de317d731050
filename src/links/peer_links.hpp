#pragma once

#include "link_endpoint.hpp"
#include "link_message.hpp"
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

    /// The wait between two dials starts with this, since a peer that starts at the same moment accepts links
    /// within this time. It doubles with each failed dial up to the maximum.
    static constexpr duration initial_dial_backoff = duration::from_ms(20);
    static constexpr duration max_dial_backoff = duration::from_ms(200);
    /// A dial on which no message arrives for this long is given up and repeated. The time covers several
    /// round trips between regions and the start of a process on a busy instance. An instance without power
    /// doesn't refuse the connection, and the operating system repeats its own attempt only after a second.
    static constexpr duration initial_dial_timeout = duration::from_ms(300);
    /// The time limit of a dial doubles with each dial that is given up, to this maximum, and to this
    /// multiple of the time of a silent link: a peer that was cut off is reached within that. A peer that is
    /// only slow, for example because many processes dial it at once, is thus dialled less and less often,
    /// and its link is established in the end.
    static constexpr duration max_dial_timeout = duration::from_ms(6000);
    static constexpr double max_redials_per_dial = 2.0;

    /// A call of @ref tick that is late by this many heartbeat intervals shows that this process was paused.
    static constexpr double max_heartbeats_between_ticks = 1.0;

    /// The time until a silent link is replaced doubles with each new link that carried nothing but a
    /// handshake, at most this often. The process of the peer then stands still, for example at its disk.
    static constexpr int max_redial_doublings = 3;
    /// The links of a peer are closed after this many silence limits without a message; the peer is gone, or
    /// cut off for long.
    static constexpr double silences_until_closed = 8.0;
    /// A peer is informed that nothing arrives from it after this many heartbeat intervals.
    static constexpr double heartbeats_until_reported = 2.0;

    /// Interval between the log lines with the bytes sent so far. One line in ten seconds is negligible
    /// beside the log lines of the requests.
    static constexpr duration log_sent_interval = duration::from_ms(10000);

    /// @brief What is known of a peer, and the state of the dials to it.
    struct peer
    {
        address at;
        /// Whether this process dials the peer and keeps a link to it.
        bool wanted = false;
        /// The link that this process dialled, open or not; 0 if there is none.
        link_id dialled = 0;
        /// Earliest time of the next dial.
        time_point next_dial_at{};
        time_point dialled_at{};
        /// Wait until the next dial.
        duration dial_backoff = initial_dial_backoff;
        /// Time within which a message from the peer must arrive after a dial.
        duration dial_timeout = initial_dial_timeout;
        /// Links on which the peer sent its handshake; messages are sent on the newest of them.
        std::set<link_id> links;
        time_point last_received_at{};
        /// The part of the silence during which this process was paused.
        duration paused;
        /// The number of new links in succession that carried nothing but a handshake.
        int silent_redials = 0;
        time_point last_sent_at{};
        time_point last_heartbeat_at{};
        /// When the newest link was opened.
        time_point opened_at{};
        /// Whether the peer reported that it receives nothing on the open links.
        bool is_deaf = false;
        bool reachable = false;

        void increase_dial_backoff() noexcept
        {
            dial_backoff = std::min(dial_backoff * 2.0, max_dial_backoff);
        }

        /// @return the time for which nothing arrived while this process ran
        duration silent_for(time_point now) const noexcept
        {
            return now - last_received_at - paused;
        }

        /// @brief Records that a message arrived.
        void on_message(time_point now) noexcept
        {
            last_received_at = now;
            paused = duration{};
        }
    };

    /// @brief A link that is open or being dialled.
    struct link
    {
        /// The name of the peer that was dialled; empty for an accepted link.
        std::string dialled;
        /// The handshake of the peer; null until it arrives.
        std::shared_ptr<const hello> from;
    };

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
    /// @brief Starts a new dial beside the open links. The caller holds the mutex.
    void redial(peer& known);
    /// @brief Sends a heartbeat if one is due. The caller holds the mutex.
    void send_heartbeat(peer& known, time_point now);
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
    /// @brief Handles a heartbeat that reports whether the peer receives anything. The caller holds the
    /// mutex.
    void on_heartbeat(peer& known, const heartbeat& beat, time_point now);
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

    const hello m_self;
    metrics& m_metrics;
    const link_timing m_dialled_timing;
    const link_timing m_accepted_timing;
    handlers m_callbacks;
    monotonic_clock m_clock;
    mutable std::mutex m_mutex;
    std::map<std::string, peer> m_peers;
    std::map<link_id, link> m_links;
    /// Time of the last call of @ref tick; accessed only by the thread that calls it.
    time_point m_last_tick_at = time_point::never();
    /// Time of the next log line with the bytes sent; accessed only by the thread that calls @ref tick.
    time_point m_next_log_at{};
    // The last member, so that its thread ends before the members that the thread uses are destroyed.
    link_endpoint m_endpoint;
};

} // namespace flaxtiller::shell
